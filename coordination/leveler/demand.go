package leveler

import "time"

const (
	// halfLife is the time in which what was counted loses half of its weight: a few times the time between two looks.
	halfLife = 500 * time.Millisecond
	// shifted is the distance between the last window and what was known, from 0 to 1, above which only the window counts.
	shifted = 0.2
	// fewest is how many choices a set of a window must hold to say anything of a shift: noise stays below a few hundredths.
	fewest = 2000
)

// Demand is how often each expert of each set is chosen, recent choices weighing more.
type Demand struct {
	sets, experts int
	weights       [][]float64
}

// NewDemand returns the demand of a number of sets of experts of which nothing is known.
func NewDemand(sets, experts int) Demand {
	return Demand{sets: sets, experts: experts}
}

// IsKnown reports whether anything was counted.
func (d Demand) IsKnown() bool { return d.weights != nil }

// Set returns the weights of one set's experts, which the caller must not change.
func (d Demand) Set(i int) []float64 { return d.weights[i] }

// Sets returns how many sets there are.
func (d Demand) Sets() int { return len(d.weights) }

// WithWindow returns the demand after the choices of a window of some length, set after set in one list.
func (d Demand) WithWindow(choices []float64, length time.Duration) Demand {
	if len(choices) != d.sets*d.experts {
		return d
	}
	keep := 1.0
	for left := length; left > 0; left -= halfLife {
		keep *= 1 - min(1, float64(left)/float64(halfLife))/2
	}
	weights := make([][]float64, d.sets)
	for i := range weights {
		window := choices[i*d.experts : (i+1)*d.experts]
		weights[i] = append([]float64(nil), window...)
		if d.weights == nil || sum(window) >= fewest && distance(window, d.weights[i]) > shifted {
			continue
		}
		for e, w := range d.weights[i] {
			weights[i][e] += keep * w
		}
	}
	d.weights = weights
	return d
}

// distance returns half the sum of the differences between two distributions.
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
