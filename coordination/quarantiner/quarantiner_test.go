package quarantiner_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/quarantiner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const (
	second = time.Second
	part   = suspect.Part(7)
)

// held returns the parts for which a request with part is held back after losses at some times.
func held(answeredAt time.Duration, losses ...time.Duration) []quarantiner.Held {
	var p suspect.Parts
	for i, at := range losses {
		p = p.WithLoss(suspect.Loss{Runner: uint32(i), At: at}, at, part).WithAnswer(answeredAt, at, part)
	}
	return quarantiner.HeldParts(p, []suspect.Part{1, part, 2})
}

func TestVerdicts(t *testing.T) {
	for name, test := range map[string]struct {
		answeredAt time.Duration
		losses     []time.Duration
		want       suspect.Verdict
	}{
		"new, one loss":                    {0, []time.Duration{10 * second}, suspect.VerdictSuspect},
		"new, two losses":                  {0, []time.Duration{10 * second, 20 * second}, suspect.VerdictRefused},
		"answered before, one loss":        {second, []time.Duration{10 * second}, suspect.VerdictClear},
		"answered before, two losses":      {second, []time.Duration{10 * second, 20 * second}, suspect.VerdictSuspect},
		"answered before, three losses":    {second, []time.Duration{10 * second, 20 * second, 30 * second}, suspect.VerdictRefused},
		"answered after the last of three": {31 * second, []time.Duration{10 * second, 20 * second, 30 * second}, suspect.VerdictClear},
	} {
		t.Run(name, func(t *testing.T) {
			got := suspect.VerdictClear
			if h := held(test.answeredAt, test.losses...); len(h) > 0 {
				got = quarantiner.VerdictOn(h[0].Strikes)
			}
			if got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// TestTrialIsDueOnceRefusalsOutweighTheLoss tries a suspect when the requests refused for it outweigh the loss at the odds
// that it is the cause, and after a minute at the latest. One of several suspects of a loss is tried sooner, but a request
// with all of them is not.
func TestTrialIsDueOnceRefusalsOutweighTheLoss(t *testing.T) {
	var p suspect.Parts
	p = p.WithLoss(suspect.Loss{At: 10 * second}, 10*second, part, 8)
	ofTwo := quarantiner.HeldParts(p, []suspect.Part{part})
	both := quarantiner.HeldParts(p, []suspect.Part{part, 8})
	one := held(0, 10*second)
	for _, test := range []struct {
		held    []quarantiner.Held
		refused int
		at      time.Duration
		want    bool
	}{
		{one, 100, 12 * second, false},
		{one, 79, 20 * second, false},
		{one, 81, 20 * second, true},
		{one, 0, 71 * second, true},
		{ofTwo, 19, 20 * second, false},
		{ofTwo, 21, 20 * second, true},
		{both, 79, 20 * second, false},
		{both, 81, 20 * second, true},
		{held(0, 10*second, 20*second), 1000, 600 * second, false},
		{held(0, 10*second, 20*second), 0, 621 * second, true},
	} {
		got := quarantiner.IsTrialDue(test.held, func(suspect.Part) int { return test.refused }, 40, test.at)
		if got != test.want {
			t.Errorf("%d held, %d refused, at %v: %t", len(test.held), test.refused, test.at, got)
		}
	}
}

// TestPartThatStaysDeadlyCostsFewRunners tries a deadly part whenever that is allowed, and has each trial crash a runner:
// after the fifth crash there are three more at most within a day.
func TestPartThatStaysDeadlyCostsFewRunners(t *testing.T) {
	const perSecond = 20
	var p suspect.Parts
	crashes, fifth, late, refused := 0, time.Duration(0), 0, 0
	for now := time.Minute; now < 24*time.Hour; now += second {
		h := quarantiner.HeldParts(p, []suspect.Part{part})
		if len(h) > 0 && !quarantiner.IsTrialDue(h, func(suspect.Part) int { return refused }, 200, now) {
			refused += perSecond
			continue
		}
		crashes, refused = crashes+1, 0
		p = p.WithLoss(suspect.Loss{Runner: uint32(crashes), At: now}, now, part)
		if crashes == 5 {
			fifth = now
		}
		if fifth > 0 && now > fifth {
			late++
		}
	}
	if crashes < 3 || late > 3 {
		t.Errorf("%d crashes in a day, %d after the fifth", crashes, late)
	}
}

// TestOneTrialAtATime begins trials of the same part and of another one at once.
func TestOneTrialAtATime(t *testing.T) {
	trials := quarantiner.NewTrials()
	trials.RecordLoss("s", 10*second)
	h := held(0, 10*second)
	for range 2 {
		trials.RecordRefusal(h)
	}
	end, begun := trials.Begin(h, "s", 0, 20*second)
	if !begun {
		t.Fatal("the first trial is not allowed")
	}
	if _, again := trials.Begin(h, "s", 0, 20*second); again {
		t.Error("two trials of a part at once")
	}
	end()
	if _, again := trials.Begin(h, "s", 0, 20*second); !again {
		t.Error("no trial after the first one has ended")
	}
}

// TestLossBeforeTheStartIsNoBargain guards against entries that started, or were paused, after a runner was lost: they do not know how
// many callers got no answer for it, and must not try the part after a few refusals.
func TestLossBeforeTheStartIsNoBargain(t *testing.T) {
	for name, test := range map[string]struct {
		startedAt, pausedUntil time.Duration
		recorded               []time.Duration
		at                     time.Duration
		want                   bool
	}{
		"lived through it":      {second, 0, []time.Duration{10 * second}, 20 * second, true},
		"paused before it":      {second, 5 * second, []time.Duration{10 * second}, 20 * second, true},
		"not told of it":        {15 * second, 0, nil, 20 * second, false},
		"started after it":      {15 * second, 0, []time.Duration{10 * second}, 20 * second, false},
		"paused after it":       {second, 15 * second, []time.Duration{10 * second}, 20 * second, false},
		"lived through another": {second, 0, []time.Duration{second}, 20 * second, false},
		"the suspicion ends":    {15 * second, 0, nil, 73 * second, true},
	} {
		t.Run(name, func(t *testing.T) {
			trials := quarantiner.NewTrials(quarantiner.Since(test.startedAt))
			for _, at := range test.recorded {
				trials.RecordLoss("s", at)
			}
			h := held(0, 12*second)
			for range 40 {
				trials.RecordRefusal(h)
			}
			if _, begun := trials.Begin(h, "s", test.pausedUntil, test.at); begun != test.want {
				t.Errorf("trial begun: %t", begun)
			}
		})
	}
}

// TestLossCostsWhatFailedAfterIt counts the requests that fail in the seconds after a loss, for each service by itself.
func TestLossCostsWhatFailedAfterIt(t *testing.T) {
	trials := quarantiner.NewTrials()
	trials.RecordFailed("s", 9*second)
	trials.RecordLoss("s", 10*second)
	for n := range 30 {
		trials.RecordFailed("s", 10*second+time.Duration(n)*second)
		trials.RecordFailed("other", 10*second)
	}
	trials.RecordLoss("s", 11*second)
	if s, other := trials.CostOf("s"), trials.CostOf("other"); s != 11 || other != 0 {
		t.Errorf("cost %d and %d", s, other)
	}
	trials.RecordLoss("s", 60*second)
	if got := trials.CostOf("s"); got != 0 {
		t.Errorf("cost %d of a new incident", got)
	}
}

// TestReportedPartWaitsForTheControlState reports a loss: its new parts are held back until the control state knows of them,
// and not for long if it never does.
func TestReportedPartWaitsForTheControlState(t *testing.T) {
	trials := quarantiner.NewTrials()
	trials.RecordReported([]suspect.Sighting{{Part: part}, {Part: 8, AnsweredAt: second}}, 10*second)
	known := func(yes bool) func(suspect.Part) bool { return func(suspect.Part) bool { return yes } }
	for _, test := range []struct {
		part    suspect.Part
		isKnown bool
		at      time.Duration
		want    bool
	}{{part, false, 10 * second, true}, {8, false, 10 * second, false}, {part, true, 10 * second, false}, {part, false, 12 * second, false}} {
		if got := trials.IsReported([]suspect.Part{1, test.part}, known(test.isKnown), test.at); got != test.want {
			t.Errorf("part %d, known %t, at %v: %t", test.part, test.isKnown, test.at, got)
		}
	}
}
