package rebalancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/expert"
)

// Static never moves an expert.
type Static struct{}

// Rebalance returns current.
func (Static) Rebalance(current expert.Map, _ expert.Load, _ time.Time) expert.Map { return current }

// Repack packs all experts anew each time, whatever they hold.
type Repack struct{}

// Rebalance returns a map packed for the last window's counts.
func (Repack) Rebalance(current expert.Map, load expert.Load, _ time.Time) expert.Map {
	changed := map[int][]uint16{}
	for layer := range current.Layers() {
		changed[layer] = pack(current, load.Layer(layer).LastWindow)
	}
	return current.WithLayers(changed)
}

// Threshold packs all experts of a layer anew when its heaviest rank is too far above the mean.
type Threshold struct{ Limit float64 }

// Rebalance returns current with the layers above the limit packed for the last window's counts.
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

// pack gives replicas to the hottest experts and places replicas from the heaviest on, each on the lightest rank with room.
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
	var pieces []uint16
	for e, n := range replicas {
		for range n {
			pieces = append(pieces, uint16(e))
		}
	}
	share := func(e uint16) float64 { return counts[e] / float64(replicas[e]) }
	slices.SortStableFunc(pieces, func(a, b uint16) int { return cmp.Compare(share(b), share(a)) })
	table, loads, used := make([]uint16, len(pieces)), make([]float64, m.Ranks()), make([]int, m.Ranks())
	for _, e := range pieces {
		rank := -1
		for r := range loads {
			if used[r] < m.Slots() && (rank < 0 || loads[r] < loads[rank]) {
				rank = r
			}
		}
		table[rank*m.Slots()+used[rank]] = e
		loads[rank] += share(e)
		used[rank]++
	}
	return table
}
