package admitter_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/admitter"
)

// adapt feeds a limit samples of an endpoint that runs at its limit: up to knee attempts at once take 100 ms, and more
// take longer in proportion.
func adapt(l admitter.Limit, knee, samples int) admitter.Limit {
	for range samples {
		slow := max(1, float64(l.Value())/float64(knee))
		latency := time.Duration(slow * float64(100*time.Millisecond))
		l = l.WithSample(admitter.Sample{TimeToFirstByte: latency, Total: latency}, l.Value())
	}
	return l
}

func TestLimitFollowsTheKnee(t *testing.T) {
	for _, knee := range []int{8, 40, 200} {
		l := adapt(admitter.NewLimit(), knee, 10_000)
		most := 0
		for range 20 {
			l = adapt(l, knee, 32)
			most = max(most, l.Value())
		}
		if most < knee || most > 2*knee {
			t.Errorf("knee at %d: highest limit between probes is %d", knee, most)
		}
	}
}

func TestLimitStaysUnchangedWithoutLoad(t *testing.T) {
	l := admitter.NewLimit()
	for range 1000 {
		l = l.WithSample(admitter.Sample{TimeToFirstByte: time.Second, Total: time.Second}, 1)
	}
	if l.Value() != admitter.DefaultInitialLimit {
		t.Errorf("limit changed to %d without load", l.Value())
	}
}

func TestLimitAdaptsToALastingLatencyChange(t *testing.T) {
	l := adapt(admitter.NewLimit(), 40, 10_000)
	slow := 3 * time.Second
	for range 10_000 {
		l = l.WithSample(admitter.Sample{TimeToFirstByte: slow, Total: slow}, l.Value())
	}
	if l.Value() < admitter.DefaultInitialLimit {
		t.Errorf("limit %d after a lasting increase of latency", l.Value())
	}
}
