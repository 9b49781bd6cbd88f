package meterer

import (
	"math"
	"slices"

	"github.com/kingcupstile/kingcupstile/state/expert"
)

const (
	// minWeight is the least weight of a new window in the moving averages.
	minWeight = 0.1
	// warmupWindows is how many windows are needed before noise can be told from a change of load.
	warmupWindows = 4
	// sigmaPerMeanDeviation is the ratio of standard deviation to mean absolute deviation of a normal distribution.
	sigmaPerMeanDeviation = 1.25
	// minReportShare is the least share of ranks that must have reported for a window to be used.
	minReportShare = 0.75
	// A window is an outlier if its distance from the estimate exceeds outlierFactor times the mean distance plus
	// outlierFloor.
	outlierFactor = 2.5
	outlierFloor  = 0.02
	// outliersToRestart is how many outliers in a row restart the estimate.
	outliersToRestart = 2
	// initialLifetime is the expected lifetime of an estimate, in windows, before the first restart.
	initialLifetime = 30
)

// Report holds how many of one rank's tokens went to each expert in a window of steps, whichever ranks hold the
// experts.
type Report struct {
	Rank   int
	Window uint64
	// Counts has an entry for each expert of each layer, ordered by layer and expert.
	Counts []float64
}

// Meter estimates the load of a group's experts; it is an immutable value.
type Meter struct {
	ranks, layers, experts int
	// closed is the highest window that was closed.
	closed  uint64
	windows map[uint64]openWindow
	load    expert.Load
	states  []layerState
}

// openWindow collects the reports of a window that is not closed yet.
type openWindow struct {
	// hasReported is indexed by rank.
	hasReported []bool
	// counts is the sum of the reports' counts.
	counts []float64
}

// layerState is what the meter keeps of one layer besides the load.
type layerState struct {
	// meanDistance is the moving average of the distance between a window and the estimate.
	meanDistance float64
	// outlier holds the counts of the last window if that was an outlier.
	outlier []float64
	// outliers counts the outliers in a row.
	outliers int
	// windows is how many windows the estimate is based on.
	windows float64
	// age counts the windows after the first, restartedAt is the age at the last restart of the estimate.
	age, restartedAt float64
	// lifetime is the moving average of the windows between restarts.
	lifetime float64
	// previous is the estimate before the last restart, nil if there was none.
	previous []float64
}

// New returns a meter without reports for a group of that many ranks and layers, with that many experts in each layer.
func New(ranks, layers, experts int) Meter {
	return Meter{
		ranks: ranks, layers: layers, experts: experts,
		windows: map[uint64]openWindow{}, states: make([]layerState, layers), load: expert.NewLoad(make([]expert.LayerLoad, layers)...),
	}
}

// Load returns the estimate, and false until a window has been closed with enough reports.
func (m Meter) Load() (expert.Load, bool) { return m.load, m.load.Layer(0).Counts != nil }

// WithReport returns the meter with a report added. Duplicates, reports for closed windows and reports of the wrong
// shape are ignored.
func (m Meter) WithReport(r Report) Meter {
	previous := m.windows[r.Window]
	if r.Window <= m.closed || r.Rank < 0 || r.Rank >= m.ranks || len(r.Counts) != m.layers*m.experts ||
		previous.hasReported != nil && previous.hasReported[r.Rank] {
		return m
	}
	next := openWindow{hasReported: make([]bool, m.ranks), counts: slices.Clone(r.Counts)}
	copy(next.hasReported, previous.hasReported)
	next.hasReported[r.Rank] = true
	for i, c := range previous.counts {
		next.counts[i] += c
	}
	windows := make(map[uint64]openWindow, len(m.windows)+1)
	for w, p := range m.windows {
		windows[w] = p
	}
	windows[r.Window] = next
	m.windows = windows
	return m
}

// WithClosed returns the meter with a window closed, which also drops all earlier windows. The counts are scaled up to
// make up for missing reports; a window with too few reports is left out of the estimate.
func (m Meter) WithClosed(window uint64) Meter {
	if window <= m.closed {
		return m
	}
	p := m.windows[window]
	windows := map[uint64]openWindow{}
	for w, other := range m.windows {
		if w > window {
			windows[w] = other
		}
	}
	m.closed, m.windows = window, windows
	reports := 0
	for _, reported := range p.hasReported {
		if reported {
			reports++
		}
	}
	if float64(reports) < minReportShare*float64(m.ranks) {
		return m
	}
	scale := float64(m.ranks) / float64(reports)
	layers, states := make([]expert.LayerLoad, m.layers), slices.Clone(m.states)
	for i := range layers {
		counts := slices.Clone(p.counts[i*m.experts : (i+1)*m.experts])
		for e := range counts {
			counts[e] *= scale
		}
		layers[i], states[i] = update(m.load.Layer(i), states[i], counts)
	}
	m.load, m.states = expert.NewLoad(layers...), states
	return m
}

// update returns a layer's estimate and state after one window, which is averaged in or handled as an outlier.
func update(l expert.LayerLoad, s layerState, counts []float64) (expert.LayerLoad, layerState) {
	if l.Counts == nil {
		s.lifetime, s.windows = initialLifetime, 1
		return estimate(counts, counts, s), s
	}
	d := distance(l.Counts, counts)
	s.age++
	if s.age > warmupWindows && d > outlierFactor*s.meanDistance+outlierFloor {
		return handleOutlier(l, s, counts)
	}
	s.outliers, s.outlier = 0, nil
	s.windows++
	weight := max(minWeight, 1/s.windows)
	s.meanDistance += max(minWeight, 1/s.age) * (d - s.meanDistance)
	return estimate(interpolate(l.Counts, counts, weight), counts, s), s
}

// handleOutlier marks the estimate as unsettled at the first outlier. At the second in a row it takes this for a change
// of load, and restarts the estimate from the two.
func handleOutlier(l expert.LayerLoad, s layerState, counts []float64) (expert.LayerLoad, layerState) {
	s.outliers++
	if s.outliers < outliersToRestart {
		s.outlier, l.Stable, l.LastWindow = counts, false, counts
		return l, s
	}
	s.lifetime = (s.lifetime + s.age - s.restartedAt) / 2
	s.windows, s.restartedAt, s.previous = outliersToRestart, s.age, l.Counts
	restarted := interpolate(s.outlier, counts, 0.5)
	s.outliers, s.outlier = 0, nil
	return estimate(restarted, counts, s), s
}

// estimate returns a layer's load after a window. Its noise falls with the number of windows averaged, down to that of
// an exponentially weighted mean.
func estimate(counts, last []float64, s layerState) expert.LayerLoad {
	variance := max(minWeight/(2-minWeight), 1/s.windows)
	return expert.LayerLoad{
		Counts: counts, LastWindow: last, PreviousCounts: s.previous, Stable: s.age >= warmupWindows,
		Noise:    sigmaPerMeanDeviation * s.meanDistance * math.Sqrt(variance),
		Lifetime: max(s.lifetime, s.age-s.restartedAt),
	}
}

// distance returns the L1 distance of a and b, each scaled to the sum 1: twice the share of tokens that would have to
// go to other experts to turn a into b. It is 0 if either sum is 0.
func distance(a, b []float64) float64 {
	var sumA, sumB, d float64
	for i := range a {
		sumA, sumB = sumA+a[i], sumB+b[i]
	}
	if sumA == 0 || sumB == 0 {
		return 0
	}
	for i := range a {
		d += math.Abs(a[i]/sumA - b[i]/sumB)
	}
	return d
}

func interpolate(a, b []float64, weight float64) []float64 {
	mixed := make([]float64, len(a))
	for i := range a {
		mixed[i] = a[i] + weight*(b[i]-a[i])
	}
	return mixed
}
