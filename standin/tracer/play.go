package tracer

import (
	"math"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/rebalancer"
	"github.com/kingcupstile/kingcupstile/state/expert"
)

const (
	// Window is the length of a window.
	Window = 10 * time.Second
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes = 44 << 20
	// StoreRate is what the weight store gives a group in a second.
	StoreRate = 4 << 30
)

// Budget is how many experts the weight store can give in one window.
var Budget = int(StoreRate * Window.Seconds() / ExpertBytes)

// Result is how a rebalancer did on a trace.
type Result struct {
	// Skew is the step time over its mean load's in each window; Bound is the least that it can be.
	Skew, Bound []float64
	// Moves is how many experts were moved in each window.
	Moves []int
	// Loading is how long the weight store was read for moves.
	Loading time.Duration
	// Switches is how often the map changed.
	Switches int
}

// Total returns how many experts were moved.
func (r Result) Total() int {
	sum := 0
	for _, n := range r.Moves {
		sum += n
	}
	return sum
}

// Play runs a rebalancer on a trace from a map on.
func Play(t Trace, initial expert.Map, r kingcupstile.Rebalancer) Result {
	var result Result
	current, next, ready := initial, expert.Map{}, -1
	for window, counts := range t.Counts {
		if ready == window {
			result.Switches++
			current, ready = next, -1
		}
		skew, bound := measure(current, counts)
		result.Skew, result.Bound = append(result.Skew, skew), append(result.Bound, bound)
		moves := 0
		if ready < 0 && t.Loads[window].Layers() > 0 && t.Loads[window].Layer(0).Counts != nil {
			at := time.Unix(0, 0).Add(time.Duration(window) * Window)
			next = r.Rebalance(current, t.Loads[window], at)
			if moves = current.Moves(next); moves > 0 || !current.Equal(next) {
				loading := time.Duration(float64(moves) * ExpertBytes / StoreRate * float64(time.Second))
				result.Loading += loading
				ready = window + max(1, int(math.Ceil(loading.Seconds()/Window.Seconds())))
			}
		}
		result.Moves = append(result.Moves, moves)
	}
	return result
}

// measure returns the time of a step over the mean load's, and the least that it can be: layers follow each other.
func measure(m expert.Map, counts [][]float64) (skew, bound float64) {
	var heaviest, least, mean float64
	for layer, c := range counts {
		heaviest += m.MaxRankLoad(layer, c)
		least += m.LowerBound(c)
		mean += m.MeanRankLoad(c)
	}
	return heaviest / mean, least / mean
}

// Percentile returns the value that a share of the values do not exceed.
func Percentile(values []float64, share float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(share*float64(len(sorted))))-1]
}

// Mean returns the mean of the values.
func Mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Settled returns those values that are at least a number of windows after a change of topic.
func Settled(values []float64, after int) []float64 {
	part := len(values) / Topics
	var kept []float64
	for i, v := range values {
		if i%part >= after {
			kept = append(kept, v)
		}
	}
	return kept
}

// always is a lifetime in windows that no cost outweighs.
const always = 1e6

// Start returns the map that a trace begins with: the one that the policy leaves as it is for the first popularity.
func Start(shape Shape, t Trace) expert.Map {
	m, err := expert.NewMap(shape.Layers, shape.Ranks, shape.Slots, shape.Experts)
	if err != nil {
		return expert.Map{}
	}
	layers := make([]expert.LayerLoad, len(t.First))
	for i, shares := range t.First {
		layers[i] = expert.LayerLoad{Counts: shares, Lifetime: always, Stable: true}
	}
	policy := rebalancer.New(rebalancer.Weight(99), rebalancer.Budget(math.MaxInt32))
	for next := policy.Rebalance(m, expert.NewLoad(layers...), time.Time{}); !next.Equal(m); {
		m, next = next, policy.Rebalance(next, expert.NewLoad(layers...), time.Time{})
	}
	return m
}
