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
	// Window is the simulated duration of one window of load reports.
	Window = 10 * time.Second
	// ExpertBytes is the size of one expert's weights in one layer, in bytes.
	ExpertBytes = 44 << 20
	// StoreRate is the throughput of the weight store for one group, in bytes per second.
	StoreRate = 4 << 30
)

// Budget is how many experts a group can load from the weight store in one window.
var Budget = int(StoreRate * Window.Seconds() / ExpertBytes)

// Result holds the measurements of a rebalancer on one trace.
type Result struct {
	// Skew is, for each window, the ratio of the step time to that with evenly loaded ranks; Bound is a lower bound of
	// it.
	Skew, Bound []float64
	// Moves is how many experts began to load in each window.
	Moves []int
	// Loading is the total simulated time for which experts were loaded from the weight store.
	Loading time.Duration
	// Switches is how often the map was replaced.
	Switches int
}

// Total returns the number of experts moved over all windows.
func (r Result) Total() int {
	sum := 0
	for _, n := range r.Moves {
		sum += n
	}
	return sum
}

// Replay runs a rebalancer on a trace, starting with the given map. A new map comes into force once its experts are
// loaded, after one window at least; the rebalancer is not asked again before.
func Replay(t Trace, initial expert.Map, r kingcupstile.Rebalancer) Result {
	var result Result
	current, next, ready := initial, expert.Map{}, -1
	for window, counts := range t.Counts {
		if ready == window {
			result.Switches++
			current, ready = next, -1
		}
		skew, bound := stepSkew(current, counts)
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

// stepSkew returns the ratio of the step time to that with evenly loaded ranks, and its lower bound. As layers run one
// after the other, the step time is the sum of the layers' heaviest loads.
func stepSkew(m expert.Map, counts [][]float64) (skew, bound float64) {
	var heaviest, least, mean float64
	for layer, c := range counts {
		heaviest += m.MaxRankLoad(layer, c)
		least += m.LowerBound(c)
		mean += m.MeanRankLoad(c)
	}
	return heaviest / mean, least / mean
}

// Percentile returns the smallest value that at least the given share of the values do not exceed; the share is above 0
// and at most 1.
func Percentile(values []float64, share float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(share*float64(len(sorted))))-1]
}

// Mean returns the arithmetic mean of the values, NaN if there are none.
func Mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// SteadyState returns the values of a sudden trace, one a window, that lie at least after windows past a change of
// topic.
func SteadyState(values []float64, after int) []float64 {
	period := len(values) / Topics
	var kept []float64
	for i, v := range values {
		if i%period >= after {
			kept = append(kept, v)
		}
	}
	return kept
}

// endlessLifetime is an expected lifetime, in windows, for which the benefit of a move always outweighs its cost.
const endlessLifetime = 1e6

// InitialMap returns the map to replay a trace from: the policy is applied to the initial popularity until it moves
// nothing more. It returns the zero map if the shape is invalid.
func InitialMap(shape Shape, t Trace) expert.Map {
	m, err := expert.NewMap(shape.Layers, shape.Ranks, shape.Slots, shape.Experts)
	if err != nil {
		return expert.Map{}
	}
	layers := make([]expert.LayerLoad, len(t.Initial))
	for i, shares := range t.Initial {
		layers[i] = expert.LayerLoad{Counts: shares, Lifetime: endlessLifetime, Stable: true}
	}
	policy := rebalancer.New(rebalancer.Weight(99), rebalancer.Budget(math.MaxInt32))
	for next := policy.Rebalance(m, expert.NewLoad(layers...), time.Time{}); !next.Equal(m); {
		m, next = next, policy.Rebalance(next, expert.NewLoad(layers...), time.Time{})
	}
	return m
}
