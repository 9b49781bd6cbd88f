package tracer

import (
	"math"
	"math/rand/v2"

	"github.com/kingcupstile/kingcupstile/coordination/meterer"
	"github.com/kingcupstile/kingcupstile/state/expert"
)

// Shape is the size of a group and the length of its trace; Slots counts per rank and layer, Experts per layer.
type Shape struct {
	Layers, Ranks, Slots, Experts int
	// Windows is the length of a trace in windows.
	Windows int
}

// Name selects how the popularity of experts changes over a trace.
type Name string

// The traces: Sudden steps through Topics topics, Drift moves gradually from one topic to another, Oscillation
// alternates between two, and Noise stays with one.
const (
	Sudden      Name = "sudden"
	Drift       Name = "drift"
	Oscillation Name = "oscillation"
	Noise       Name = "noise"
)

// Names returns the names of all traces.
func Names() []Name { return []Name{Sudden, Drift, Oscillation, Noise} }

const (
	// Topics is how many topics a sudden trace steps through; a topic is a distribution of popularity over the experts.
	Topics = 4
	// oscillationWindows is how many windows an oscillation stays with one topic.
	oscillationWindows = 8
	// choicesPerWindow is how many times a layer routes a token to an expert in a window of 10 s: 5.3 million tokens a
	// second over 375 groups, 8 experts a token.
	choicesPerWindow = 5_300_000 / 375 * 8 * 10
	// popularitySigma is the standard deviation of the natural logarithm of the experts' popularity.
	popularitySigma = 1.0
	// windowSigma is the relative standard deviation of an expert's popularity from window to window.
	windowSigma = 0.03
	// reportLoss is the share of load reports that are lost.
	reportLoss = 0.03
)

// Trace holds the true load of each expert in each window, and a meter's estimates from the reports that arrived.
type Trace struct {
	Name Name
	// Counts is the true load in tokens, indexed by window, layer and expert.
	Counts [][][]float64
	// Loads holds, for each window, the estimate at its end, which is based on reports up to the window before.
	Loads []expert.Load
	// Initial is the popularity at the start of the trace, indexed by layer and expert; each layer's sums to 1.
	Initial [][]float64
}

// New generates a trace from a seed.
func New(name Name, shape Shape, seed uint64) Trace {
	rng := rand.New(rand.NewPCG(seed, seed))
	topics := make([][][]float64, Topics)
	for i := range topics {
		topics[i] = newTopic(rng, shape)
	}
	t := Trace{Name: name, Initial: topics[0]}
	meter := meterer.New(shape.Ranks, shape.Layers, shape.Experts)
	for window := range shape.Windows {
		counts := make([][]float64, shape.Layers)
		for layer := range counts {
			counts[layer] = sampleCounts(rng, popularity(name, topics, layer, window, shape.Windows))
		}
		t.Counts = append(t.Counts, counts)
		meter = sendReports(meter, rng, shape, uint64(window+1), counts)
		meter = meter.WithClosed(uint64(window))
		load, _ := meter.Load()
		t.Loads = append(t.Loads, load)
	}
	return t
}

func newTopic(rng *rand.Rand, shape Shape) [][]float64 {
	layers := make([][]float64, shape.Layers)
	for layer := range layers {
		shares, sum := make([]float64, shape.Experts), 0.0
		for e := range shares {
			shares[e] = math.Exp(popularitySigma * rng.NormFloat64())
			sum += shares[e]
		}
		for e := range shares {
			shares[e] /= sum
		}
		layers[layer] = shares
	}
	return layers
}

// popularity returns the share of tokens that each expert of a layer gets in a window.
func popularity(name Name, topics [][][]float64, layer, window, windows int) []float64 {
	switch name {
	case Sudden:
		return topics[window*Topics/windows][layer]
	case Oscillation:
		return topics[window/oscillationWindows%2][layer]
	case Drift:
		share := float64(window) / float64(windows)
		mixed := make([]float64, len(topics[0][layer]))
		for e := range mixed {
			mixed[e] = (1-share)*topics[0][layer][e] + share*topics[1][layer][e]
		}
		return mixed
	}
	return topics[0][layer]
}

// sampleCounts returns random counts whose means are choicesPerWindow times the shares.
func sampleCounts(rng *rand.Rand, shares []float64) []float64 {
	counts := make([]float64, len(shares))
	for e, share := range shares {
		mean := share * choicesPerWindow * (1 + windowSigma*rng.NormFloat64())
		counts[e] = max(0, mean+math.Sqrt(max(0, mean))*rng.NormFloat64())
	}
	return counts
}

// sendReports reports an equal part of the counts from each rank to a meter, except for the reports that are lost.
func sendReports(m meterer.Meter, rng *rand.Rand, shape Shape, window uint64, counts [][]float64) meterer.Meter {
	part := make([]float64, 0, shape.Layers*shape.Experts)
	for _, layer := range counts {
		for _, c := range layer {
			part = append(part, c/float64(shape.Ranks))
		}
	}
	for rank := range shape.Ranks {
		if rng.Float64() < reportLoss {
			continue
		}
		m = m.WithReport(meterer.Report{Rank: rank, Window: window, Counts: part})
	}
	return m
}
