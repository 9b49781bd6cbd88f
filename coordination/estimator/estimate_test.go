package estimator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/estimator"
)

const (
	ms   = time.Millisecond
	seed = 20261206
)

// TestNearlyAllStayBelow measures durations of some spread: nearly all further ones stay below the estimate, which is not much
// above the longest.
func TestNearlyAllStayBelow(t *testing.T) {
	for name, draw := range map[string]func(r *rand.Rand) time.Duration{
		"even":     func(r *rand.Rand) time.Duration { return 100*ms + time.Duration(r.Int64N(int64(100*ms))) },
		"constant": func(*rand.Rand) time.Duration { return 30 * ms },
		"tail":     func(r *rand.Rand) time.Duration { return time.Duration(20*r.ExpFloat64()) * ms },
	} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			var e estimator.Estimate
			over, longest := 0, time.Duration(0)
			for n := range 2000 {
				d := draw(r)
				longest = max(longest, d)
				if n > 100 && d > e.Most() {
					over++
				}
				e = e.WithSample(d)
			}
			if over > 100 || e.Most() > 3*longest {
				t.Errorf("%d of 1900 above the estimate, %v at the end, longest %v", over, e.Most(), longest)
			}
		})
	}
}

func TestNothingMeasured(t *testing.T) {
	b := estimator.NewBook()
	stream := estimator.Kind{Service: "pool", IsStream: true}
	b.RecordBegin(stream, 40*ms)
	b.RecordWhole(stream, 400*ms)
	if w := b.Work(stream); !w.Begin.IsKnown() || w.Begin.Mean() != 40*ms || w.Whole.Mean() != 400*ms {
		t.Errorf("got %+v", w)
	}
	if w := b.Work(estimator.Kind{Service: "pool"}); w.Begin.IsKnown() || w.Begin.Most() != 0 || w.Whole.IsKnown() {
		t.Errorf("got %+v of answers that are not streams", w)
	}
}
