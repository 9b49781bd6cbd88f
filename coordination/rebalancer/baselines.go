package rebalancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/expert"
)

// Static is the baseline that never moves an expert.
type Static struct{}

// Rebalance returns current.
func (Static) Rebalance(current expert.Map, _ expert.Load, _ time.Time) expert.Map { return current }

// Repack is the baseline that places all experts from scratch each time, without regard to the cost of moves.
type Repack struct{}

// Rebalance returns a map computed from the last window's counts alone.
func (Repack) Rebalance(current expert.Map, load expert.Load, _ time.Time) expert.Map {
	changed := map[int][]uint16{}
	for layer := range current.Layers() {
		changed[layer] = pack(current, load.Layer(layer).LastWindow)
	}
	return current.WithLayers(changed)
}

// Threshold is the baseline that places a layer's experts from scratch when its heaviest rank exceeds Limit times the
// layer's bound.
type Threshold struct{ Limit float64 }

// Rebalance returns current with the layers above the limit computed from the last window's counts.
func (t Threshold) Rebalance(current expert.Map, load expert.Load, _ time.Time) expert.Map {
	changed := map[int][]uint16{}
	for layer := range current.Layers() {
		counts := load.Layer(layer).LastWindow
		if current.MaxRankLoad(layer, counts) > t.Limit*current.LowerBound(counts) {
			changed[layer] = pack(current, counts)
		}
	}
	return current.WithLayers(changed)
}

// pack gives each spare slot to the expert with the most load per replica, then places the replicas, heaviest first,
// each on the lightest rank with a free slot.
func pack(m expert.Map, counts []float64) []uint16 {
	replicas := make([]int, m.Experts())
	for e := range replicas {
		replicas[e] = 1
	}
	for range m.Ranks()*m.Slots() - m.Experts() {
		hottest := 0
		for e := range replicas {
			if counts[e]/float64(replicas[e]) > counts[hottest]/float64(replicas[hottest]) {
				hottest = e
			}
		}
		replicas[hottest]++
	}
	var placements []uint16
	for e, n := range replicas {
		for range n {
			placements = append(placements, uint16(e))
		}
	}
	replicaLoad := func(e uint16) float64 { return counts[e] / float64(replicas[e]) }
	slices.SortStableFunc(placements, func(a, b uint16) int { return cmp.Compare(replicaLoad(b), replicaLoad(a)) })
	table, loads, used := make([]uint16, len(placements)), make([]float64, m.Ranks()), make([]int, m.Ranks())
	for _, e := range placements {
		rank := -1
		for r := range loads {
			if used[r] < m.Slots() && (rank < 0 || loads[r] < loads[rank]) {
				rank = r
			}
		}
		table[rank*m.Slots()+used[rank]] = e
		loads[rank] += replicaLoad(e)
		used[rank]++
	}
	return table
}
