package rebalancer_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/rebalancer"
	"github.com/kingcupstile/kingcupstile/standin/tracer"
)

const (
	seed = 20261204
	// reactionWindows is how many windows the policy may take to react to a change of topic.
	reactionWindows = 6
	// maxSkewRatio is the most that the skew may be, relative to its bound, outside of the reaction windows.
	maxSkewRatio = 1.10
)

var (
	full  = tracer.Shape{Layers: 60, Ranks: 64, Slots: 3, Experts: 64, Windows: 40}
	small = tracer.Shape{Layers: 8, Ranks: 64, Slots: 3, Experts: 64, Windows: 160}
)

func budget(s tracer.Shape) rebalancer.Option {
	return rebalancer.Budget(tracer.Budget * s.Layers / full.Layers)
}

func TestSuddenChange(t *testing.T) {
	tr := tracer.New(tracer.Sudden, small, seed)
	initial := tracer.InitialMap(small, tr)
	policy := tracer.Replay(tr, initial, rebalancer.New(rebalancer.Weight(90), budget(small)))
	skew := tracer.Percentile(tracer.SteadyState(policy.Skew, reactionWindows), 0.95)
	bound := tracer.Percentile(tracer.SteadyState(policy.Bound, reactionWindows), 0.95)
	if skew > maxSkewRatio*bound {
		t.Errorf("p95 of skew %.3f, bound %.3f", skew, bound)
	}
	repack := tracer.Replay(tr, initial, rebalancer.Repack{})
	if tracer.Mean(policy.Skew) > tracer.Mean(repack.Skew) || policy.Total() > repack.Total()/4 {
		t.Errorf("skew %.3f with %d moves, full re-pack %.3f with %d", tracer.Mean(policy.Skew), policy.Total(),
			tracer.Mean(repack.Skew), repack.Total())
	}
}

func TestNoiseMovesNothing(t *testing.T) {
	tr := tracer.New(tracer.Noise, small, seed)
	for _, weight := range []int{20, 50, 90} {
		r := tracer.Replay(tr, tracer.InitialMap(small, tr), rebalancer.New(rebalancer.Weight(weight), budget(small)))
		if r.Total() > 0 {
			t.Errorf("weight %d: %d moves", weight, r.Total())
		}
	}
}

func TestFrozenMovesNothing(t *testing.T) {
	tr := tracer.New(tracer.Sudden, small, seed)
	frozen := rebalancer.Frozen(func(time.Time) bool { return true })
	if r := tracer.Replay(tr, tracer.InitialMap(small, tr), rebalancer.New(frozen)); r.Total() > 0 {
		t.Errorf("%d moves", r.Total())
	}
}

func TestBudgetIsKept(t *testing.T) {
	tr := tracer.New(tracer.Sudden, small, seed)
	for _, moves := range tracer.Replay(tr, tracer.InitialMap(small, tr), rebalancer.New(rebalancer.Budget(50))).Moves {
		if moves > 50 {
			t.Errorf("%d moves at once", moves)
		}
	}
}

// BenchmarkRebalance plans with the estimate from the first three windows after the topic of every layer has changed.
func BenchmarkRebalance(b *testing.B) {
	tr := tracer.New(tracer.Sudden, full, seed)
	m, p := tracer.InitialMap(full, tr), rebalancer.New(budget(full))
	load := tr.Loads[full.Windows/tracer.Topics+reactionWindows-3]
	for b.Loop() {
		if p.Rebalance(m, load, time.Time{}).Equal(m) {
			b.Fatal("no expert is moved")
		}
	}
}
