package leveler

import (
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/decayer"
)

const (
	// halfLife is the time in which counted choices lose half of their weight: a few times the length of a window.
	halfLife = 500 * time.Millisecond
	// shiftThreshold is the distance between the last window and the demand before it, from 0 to 1, above which the
	// earlier demand is discarded.
	shiftThreshold = 0.2
	// minShiftSample is how many choices of a set a window must hold for a shift to be detected: with that many, the
	// distance due to noise stays below a few hundredths.
	minShiftSample = 2000
)

// Demand is how often each expert of each set is chosen, with recent choices weighing more.
type Demand struct {
	sets, experts int
	weights       [][]float64
}

// NewDemand returns a demand without any choices, for a number of sets and of experts in each.
func NewDemand(sets, experts int) Demand {
	return Demand{sets: sets, experts: experts}
}

// IsKnown reports whether a window was added.
func (d Demand) IsKnown() bool { return d.weights != nil }

// Set returns the weights of one set's experts, which the caller must not change.
func (d Demand) Set(i int) []float64 { return d.weights[i] }

// Sets returns the number of sets, 0 while the demand is unknown.
func (d Demand) Sets() int { return len(d.weights) }

// WithWindow returns the demand with the choices of a window added, which are listed set after set; length is how long
// the window lasted. It returns the demand unchanged if the number of choices does not fit.
func (d Demand) WithWindow(choices []float64, length time.Duration) Demand {
	if len(choices) != d.sets*d.experts {
		return d
	}
	keep := decayer.Keep(length, halfLife)
	weights := make([][]float64, d.sets)
	for i := range weights {
		window := choices[i*d.experts : (i+1)*d.experts]
		weights[i] = append([]float64(nil), window...)
		if d.weights == nil || sum(window) >= minShiftSample && distance(window, d.weights[i]) > shiftThreshold {
			continue
		}
		for e, w := range d.weights[i] {
			weights[i][e] += keep * w
		}
	}
	d.weights = weights
	return d
}

// distance returns the total variation distance between the distributions of a and b: half the sum of the absolute
// differences, from 0 to 1. It returns 0 if one of them is all zeros.
func distance(a, b []float64) float64 {
	sa, sb := sum(a), sum(b)
	if sa == 0 || sb == 0 {
		return 0
	}
	d := 0.0
	for i := range a {
		if x := a[i]/sa - b[i]/sb; x > 0 {
			d += x
		}
	}
	return d
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}
