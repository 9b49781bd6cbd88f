package expert

import "slices"

// LayerLoad is the estimated load on the experts of one layer; slices are indexed by expert.
type LayerLoad struct {
	// Counts is the estimated number of tokens that each expert receives in a window.
	Counts []float64
	// LastWindow is the number of tokens that each expert received in the last window.
	LastWindow []float64
	// Noise is the relative error of the estimate to expect from random variation alone.
	Noise float64
	// PreviousCounts is the estimate that was in use before the last reset, nil if there was none.
	PreviousCounts []float64
	// Lifetime is the number of windows for which an estimate is expected to stay valid.
	Lifetime float64
	// Stable reports that the estimate covers enough windows and that the last one agrees with it.
	Stable bool
}

// Load is the estimated load on a group's experts, by layer.
type Load struct{ layers []LayerLoad }

// NewLoad returns a load that holds a copy of the list of layers.
func NewLoad(layers ...LayerLoad) Load { return Load{layers: slices.Clone(layers)} }

// Layers returns the number of layers.
func (l Load) Layers() int { return len(l.layers) }

// Layer returns the load of one layer, whose slices the caller must not change.
func (l Load) Layer(i int) LayerLoad { return l.layers[i] }

// WithLayer returns the load with one layer replaced.
func (l Load) WithLayer(i int, layer LayerLoad) Load {
	l.layers = slices.Clone(l.layers)
	l.layers[i] = layer
	return l
}

// MaxRankLoad returns the load of the most loaded rank in a layer, with each expert's count spread evenly over its
// replicas.
func (m Map) MaxRankLoad(layer int, counts []float64) float64 {
	slots := m.layer(layer)
	replicas := make([]float64, m.experts)
	for _, e := range slots {
		replicas[e]++
	}
	highest := 0.0
	for i := 0; i < len(slots); i += m.slots {
		sum := 0.0
		for _, e := range slots[i : i+m.slots] {
			sum += counts[e] / replicas[e]
		}
		highest = max(highest, sum)
	}
	return highest
}

// MeanRankLoad returns the mean load of the ranks.
func (m Map) MeanRankLoad(counts []float64) float64 {
	sum := 0.0
	for _, c := range counts {
		sum += c
	}
	return sum / float64(m.ranks)
}

// LowerBound returns the lowest possible load of the most loaded rank: the mean load, or the load of the hottest expert
// divided by the largest number of replicas that fit, whichever is higher.
func (m Map) LowerBound(counts []float64) float64 {
	replicas := min(m.ranks, 1+m.ranks*m.slots-m.experts)
	return max(m.MeanRankLoad(counts), slices.Max(counts)/float64(replicas))
}
