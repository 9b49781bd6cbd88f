package meterer_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/meterer"
	"github.com/kingcupstile/kingcupstile/state/expert"
)

const (
	ranks   = 8
	experts = 4
	windows = 40
)

// feed reports windows to a meter and returns its estimate; expert 2 gets hot times the load in the second half.
// deliver returns how often a rank's report arrives before its window is closed.
func feed(hot float64, deliver func(rank int, window uint64) int) expert.LayerLoad {
	rng := rand.New(rand.NewPCG(1, 1))
	m := meterer.New(ranks, 1, experts)
	for window := uint64(1); window <= windows; window++ {
		for rank := range ranks {
			counts := make([]float64, experts)
			for e := range counts {
				counts[e] = 1000 * (1 + 0.03*rng.NormFloat64())
			}
			if window > windows/2 {
				counts[2] *= hot
			}
			for range deliver(rank, window) {
				m = m.WithReport(meterer.Report{Rank: rank, Window: window, Counts: counts})
			}
		}
		m = m.WithClosed(window)
		// A report for a closed window is ignored.
		m = m.WithReport(meterer.Report{Window: window, Counts: []float64{1e9, 0, 0, 0}})
	}
	load, _ := m.Load()
	return load.Layer(0)
}

func TestStalledRankIsNoHotExpert(t *testing.T) {
	for name, test := range map[string]struct {
		hot     float64
		deliver func(rank int, window uint64) int
		want    float64
	}{
		"all reports arrive":           {1, func(int, uint64) int { return 1 }, 1},
		"a rank stalls and is silent":  {1, func(rank int, w uint64) int { return min(1, max(rank, int(windows/2)-int(w), 0)) }, 1},
		"reports are duplicated":       {1, func(rank int, _ uint64) int { return 1 + rank%2 }, 1},
		"most reports are lost":        {1, func(rank int, w uint64) int { return min(1, max(0, rank-5+int(windows/2)/int(w)*8)) }, 1},
		"an expert is hot":             {3, func(int, uint64) int { return 1 }, 3},
		"an expert is hot, one stalls": {3, func(rank int, _ uint64) int { return min(1, rank) }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			l := feed(test.hot, test.deliver)
			if got := l.Counts[2] / l.Counts[1]; math.Abs(got-test.want) > 0.05*test.want || !l.Stable {
				t.Errorf("expert 2 over expert 1 is %.2f, want %.2f; settled %v", got, test.want, l.Stable)
			}
		})
	}
}
