package history_test

import (
	"bufio"
	"bytes"
	"sync"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/kingcupstile/kingcupstile/coordination/keeper"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/standin/history"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

const (
	histories = 10_000
	seed      = 20261204
	workers   = 6
)

// tally adds up what happened in many histories.
type tally struct {
	mu     sync.Mutex
	told   map[attempt.Outcome]int
	faults map[history.Fault]int
	whole  int
	twice  int
	failed int
}

func (t *tally) add(r history.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for outcome, n := range r.Told {
		t.told[outcome] += n
	}
	for f, n := range r.Faults {
		t.faults[f] += n
	}
	t.whole += r.Whole
	if len(r.Faults) > 1 {
		t.twice++
	}
	if r.Err != nil {
		t.failed++
	}
}

// promises runs the property over many histories and returns whether it held.
func promises(t *testing.T, count int, options ...history.Option) (*tally, *gopter.TestResult) {
	t.Helper()
	sum := &tally{told: map[attempt.Outcome]int{}, faults: map[history.Fault]int{}}
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests, parameters.Workers = count, workers
	property := prop.ForAllNoShrink(func(seed uint64) (bool, error) {
		r := history.Play(seed, options...)
		sum.add(r)
		return r.Err == nil, r.Err
	}, gen.UInt64())
	return sum, property.Check(parameters)
}

func TestPromisesHold(t *testing.T) {
	sum, result := promises(t, histories)
	if !result.Passed() {
		t.Fatalf("%s after %d histories: %v with %v", result.Status, result.Succeeded, result.Error, result.Args)
	}
	t.Logf("told %v, whole answers %d, histories with two faults or more %d, faults %v", sum.told, sum.whole, sum.twice, sum.faults)
	for _, outcome := range []attempt.Outcome{attempt.OutcomeRan, attempt.OutcomeNotRun, attempt.OutcomeUnknown} {
		if sum.told[outcome] < histories/20 {
			t.Errorf("%q was told %d times only", outcome, sum.told[outcome])
		}
	}
	if sum.twice < histories/2 {
		t.Errorf("two faults at once in %d histories only", sum.twice)
	}
}

// TestMutantsFail shows that the property notices when a check is missing.
func TestMutantsFail(t *testing.T) {
	for name, mutant := range map[string]history.Option{
		"no incarnation check": history.Keeps(func(s keeper.State, e keeper.Event) (keeper.State, []keeper.Effect) {
			if admit, ok := e.(keeper.Admit); ok {
				admit.Attempt = admit.Attempt.WithTarget(admit.Attempt.Endpoint(), s.Incarnation())
				e = admit
			}
			return keeper.Step(s, e)
		}),
		"no tombstone": history.Keeps(func(s keeper.State, e keeper.Event) (keeper.State, []keeper.Effect) {
			next, effects := keeper.Step(s, e)
			if _, ok := e.(keeper.Tombstone); ok {
				return s, effects
			}
			return next, effects
		}),
		"frames of any attempt": history.Reads(func(stream []byte, _ string) (attempt.Frame, error) {
			m := &wire.Frame{}
			err := messenger.Read(bufio.NewReader(bytes.NewReader(stream)), m)
			return messenger.DecodeFrame(m), err
		}),
	} {
		t.Run(name, func(t *testing.T) {
			if _, result := promises(t, histories, mutant); result.Passed() {
				t.Error("the property holds for the mutant")
			} else {
				t.Logf("failed after %d histories: %v", result.Succeeded, result.Error)
			}
		})
	}
}
