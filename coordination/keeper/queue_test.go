package keeper_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/admitter"
	"github.com/kingcupstile/kingcupstile/coordination/keeper"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/ledger"
)

var start = time.Unix(1_800_000_000, 0)

func newAttempt(request string, options ...attempt.Option) attempt.Attempt {
	options = append([]attempt.Option{
		attempt.To("desk-1", "first"), attempt.Account("amagambo"), attempt.MaxQueueWait(time.Second),
		attempt.Deadline(start.Add(time.Minute)), attempt.Expiry(start.Add(time.Minute)),
	}, options...)
	return attempt.New(request, options...)
}

// busy returns a state whose concurrency limit of one attempt is used up.
func busy() keeper.State {
	s := keeper.New(ledger.New("first"), keeper.Queue(admitter.New(admitter.Concurrency(admitter.NewLimit(admitter.Fixed(1))))))
	s, _ = keeper.Step(s, keeper.Admit{Attempt: newAttempt("running"), At: start})
	return s
}

func admit(s keeper.State, a attempt.Attempt, at time.Time) (keeper.State, keeper.Effect) {
	s, effects := keeper.Step(s, keeper.Admit{Attempt: a, At: at})
	return s, effects[0]
}

// kind returns why an attempt was refused, or an empty kind if it was not.
func kind(e keeper.Effect) ledger.Kind {
	if refused, ok := e.(keeper.Refuse); ok {
		return refused.Verdict.Kind
	}
	return ""
}

func TestWithdrawnAttemptNeverRuns(t *testing.T) {
	s, effect := admit(busy(), newAttempt("r1", attempt.Key("slip-7")), start)
	if _, waits := effect.(keeper.Enqueue); !waits {
		t.Fatalf("got %T", effect)
	}
	late := start.Add(2 * time.Second)
	s, effects := keeper.Step(s, keeper.Tick{At: late})
	withdrawn, ok := effects[0].(keeper.Withdraw)
	if !ok || withdrawn.Verdict.Kind != keeper.KindOverload {
		t.Fatalf("got %#v", effects[0])
	}
	s, effect = admit(s, newAttempt("r1", attempt.Key("slip-7")), late)
	if kind(effect) != ledger.KindTombstone {
		t.Errorf("a late copy of the attempt got %#v", effect)
	}
	s, _ = keeper.Step(s, keeper.Finish{Identity: newAttempt("running").Identity(), At: late})
	_, effect = admit(s, newAttempt("r2", attempt.Key("slip-7")), late)
	if _, starts := effect.(keeper.Start); !starts {
		t.Errorf("the resend under the same key got %#v", effect)
	}
}

func TestRefusedAttemptNeverRuns(t *testing.T) {
	noWait := newAttempt("r1", attempt.MaxQueueWait(0))
	s, effect := admit(busy(), noWait, start)
	if kind(effect) != keeper.KindOverload {
		t.Fatalf("got %#v", effect)
	}
	s, _ = keeper.Step(s, keeper.Finish{Identity: newAttempt("running").Identity(), At: start})
	if _, effect = admit(s, noWait, start); kind(effect) != ledger.KindTombstone {
		t.Errorf("a late copy of the attempt got %#v", effect)
	}
}

func TestTombstoneLeavesQueue(t *testing.T) {
	waiting := newAttempt("r1")
	s, _ := admit(busy(), waiting, start)
	s, effects := keeper.Step(s, keeper.Tombstone{Attempt: waiting})
	if outcome := effects[0].(keeper.ReplyOutcome).Outcome; outcome != attempt.OutcomeNotRun || len(effects) != 2 {
		t.Errorf("got %q and %d effects", outcome, len(effects))
	}
	_, effects = keeper.Step(s, keeper.Finish{Identity: newAttempt("running").Identity(), At: start})
	if len(effects) != 0 {
		t.Errorf("after the running attempt finished: %#v", effects)
	}
}
