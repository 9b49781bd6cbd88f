package meterer

import (
	"math"
	"slices"

	"github.com/kingcupstile/kingcupstile/state/expert"
)

const (
	// weight is the least share of a new window in the estimate.
	weight = 0.1
	// ripe is how many windows an estimate needs before chance can be told from change.
	ripe = 4
	// deviation is the standard deviation of a normal distribution over its mean absolute deviation.
	deviation = 1.25
	// quorum is the share of ranks whose counts a window needs.
	quorum = 0.75
	// doubtFactor and doubtFloor say how far a window lies from the estimate that chance does not explain.
	doubtFactor = 2.5
	doubtFloor  = 0.02
	// doubts is how many such windows in a row make the estimate begin anew.
	doubts = 2
	// firstLifetime is the expected lifetime in windows before anything changed.
	firstLifetime = 30
)

// Report is what the tokens of one rank asked for in a window of steps, whichever rank holds the experts.
type Report struct {
	Rank   int
	Window uint64
	// Counts is ordered by layer and expert.
	Counts []float64
}

// Meter is the estimate of a group's load.
type Meter struct {
	ranks, layers, experts int
	closed                 uint64
	windows                map[uint64]partial
	load                   expert.Load
	tracks                 []track
}

// partial is a window whose reports are still coming in.
type partial struct {
	seen   []bool
	counts []float64
}

// track is what the meter remembers of one layer besides the load.
type track struct {
	distance float64
	doubted  []float64
	doubts   int
	// windows is how many windows the estimate is made of.
	windows float64
	// age counts the windows seen, changed is the age at which the estimate began anew.
	age, changed float64
	lifetime     float64
	// before is the estimate before it began anew.
	before []float64
}

// New returns the meter of a group before any report.
func New(ranks, layers, experts int) Meter {
	return Meter{
		ranks: ranks, layers: layers, experts: experts,
		windows: map[uint64]partial{}, tracks: make([]track, layers), load: expert.NewLoad(make([]expert.LayerLoad, layers)...),
	}
}

// Load returns the estimate, and false before the first window was closed.
func (m Meter) Load() (expert.Load, bool) { return m.load, m.load.Layer(0).Counts != nil }

// WithReport returns the meter after a report; one that came twice, late or for another shape changes nothing.
func (m Meter) WithReport(r Report) Meter {
	known := m.windows[r.Window]
	if r.Window <= m.closed || r.Rank < 0 || r.Rank >= m.ranks || len(r.Counts) != m.layers*m.experts ||
		known.seen != nil && known.seen[r.Rank] {
		return m
	}
	next := partial{seen: make([]bool, m.ranks), counts: slices.Clone(r.Counts)}
	copy(next.seen, known.seen)
	next.seen[r.Rank] = true
	for i, c := range known.counts {
		next.counts[i] += c
	}
	windows := make(map[uint64]partial, len(m.windows)+1)
	for w, p := range m.windows {
		windows[w] = p
	}
	windows[r.Window] = next
	m.windows = windows
	return m
}

// WithClosed returns the meter after the time to wait for a window's reports is over; counts that are missing are
// taken to be like the others', and a window with too few reports is left out.
func (m Meter) WithClosed(window uint64) Meter {
	if window <= m.closed {
		return m
	}
	p := m.windows[window]
	windows := map[uint64]partial{}
	for w, other := range m.windows {
		if w > window {
			windows[w] = other
		}
	}
	m.closed, m.windows = window, windows
	heard := 0
	for _, seen := range p.seen {
		if seen {
			heard++
		}
	}
	if float64(heard) < quorum*float64(m.ranks) {
		return m
	}
	scale := float64(m.ranks) / float64(heard)
	layers, tracks := make([]expert.LayerLoad, m.layers), slices.Clone(m.tracks)
	for i := range layers {
		counts := slices.Clone(p.counts[i*m.experts : (i+1)*m.experts])
		for e := range counts {
			counts[e] *= scale
		}
		layers[i], tracks[i] = follow(m.load.Layer(i), tracks[i], counts)
	}
	m.load, m.tracks = expert.NewLoad(layers...), tracks
	return m
}

// follow takes one window into a layer's estimate, or doubts the estimate.
func follow(l expert.LayerLoad, t track, counts []float64) (expert.LayerLoad, track) {
	if l.Counts == nil {
		t.lifetime, t.windows = firstLifetime, 1
		return estimate(counts, counts, t), t
	}
	d := distance(l.Counts, counts)
	t.age++
	if t.age > ripe && d > doubtFactor*t.distance+doubtFloor {
		return doubt(l, t, counts)
	}
	t.doubts, t.doubted = 0, nil
	t.windows++
	share := max(weight, 1/t.windows)
	t.distance += max(weight, 1/t.age) * (d - t.distance)
	return estimate(blend(l.Counts, counts, share), counts, t), t
}

// doubt waits for a second window that contradicts the estimate and then begins it anew.
func doubt(l expert.LayerLoad, t track, counts []float64) (expert.LayerLoad, track) {
	t.doubts++
	if t.doubts < doubts {
		t.doubted, l.Stable, l.LastWindow = counts, false, counts
		return l, t
	}
	t.lifetime = (t.lifetime + t.age - t.changed) / 2
	t.windows, t.changed, t.before = doubts, t.age, l.Counts
	fresh := blend(t.doubted, counts, 0.5)
	t.doubts, t.doubted = 0, nil
	return estimate(fresh, counts, t), t
}

// estimate returns what a layer's counts are taken to be after a window; its noise falls as windows add up.
func estimate(counts, last []float64, t track) expert.LayerLoad {
	share := max(weight/(2-weight), 1/t.windows)
	return expert.LayerLoad{
		Counts: counts, LastWindow: last, PreviousCounts: t.before, Stable: t.age >= ripe,
		Noise:    deviation * t.distance * math.Sqrt(share),
		Lifetime: max(t.lifetime, t.age-t.changed),
	}
}

// distance returns the share of tokens that would have to go elsewhere to make b out of a, twice.
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

func blend(a, b []float64, share float64) []float64 {
	mixed := make([]float64, len(a))
	for i := range a {
		mixed[i] = a[i] + share*(b[i]-a[i])
	}
	return mixed
}
