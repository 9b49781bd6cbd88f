package admitter

import (
	"math"
	"slices"
	"time"
)

// The defaults of a Limit: its initial value and bounds in attempts, and its tolerance as a ratio of latencies.
const (
	DefaultInitialLimit = 32
	DefaultMinLimit     = 1
	DefaultMaxLimit     = 1024
	DefaultTolerance    = 1.4
)

const (
	// windowSamples is the number of samples that are averaged for one adjustment of the limit.
	windowSamples = 64
	// minDecreaseFactor is the smallest factor that one decrease applies to the limit.
	minDecreaseFactor = 0.7
	// growthFraction is the fraction by which a fully used limit grows per window, once it has been decreased; till then
	// it doubles.
	growthFraction = 1.0 / 16
	// lowLoadFraction is a fraction of the limit: while at most that many attempts run at once, latency counts as the
	// baseline, which is the latency without load. A probe lowers the limit to it.
	lowLoadFraction = 0.5
	// baselineWeight is the weight of the latest window in the moving average of the baseline.
	baselineWeight = 0.3
	// probeInterval is the number of loaded windows in a row after which a probe lowers the limit to measure the baseline.
	probeInterval = 16
	// probeDecreases is the number of decreases in a row after which a probe starts at once.
	probeDecreases = 4
	// unchangedLatencyRatio is the ratio of the latency in a probe to that before it, above which load is not the cause of
	// the latency.
	unchangedLatencyRatio = 0.8
	// saturatedLatencyRatio is the ratio of the latency in a probe to that before it, below which latency falls with the
	// limit: even half of the limit is more than the endpoint can serve at once then.
	saturatedLatencyRatio = 0.6
)

// probe is the stage of a measurement of the baseline under a lowered limit.
type probe string

const (
	probeNone probe = ""
	// probeDrain discards one window, in which the attempts end that started before the limit was lowered.
	probeDrain   probe = "drain"
	probeMeasure probe = "measure"
)

// Sample is the latency of one finished attempt.
type Sample struct {
	// TimeToFirstByte is the time from the start to the first piece of the answer's body.
	TimeToFirstByte time.Duration
	// MeanGap is the mean time between two pieces, 0 if there was at most one.
	MeanGap time.Duration
	// Total is the time from the start to the end.
	Total time.Duration
}

// Limit is an adaptive concurrency limit. It grows while it is fully used and latency stays within a tolerance of the
// baseline, which is the latency without load, and shrinks when latency exceeds that. Probes lower it now and then to
// measure the baseline.
type Limit struct {
	// value is the limit in attempts outside probes, between minValue and maxValue.
	value     float64
	minValue  float64
	maxValue  float64
	tolerance float64
	// baselineFirst and baselineGap are the baseline of the time to first byte and of the mean gap in seconds, 0 if
	// unknown.
	baselineFirst float64
	baselineGap   float64
	// firsts and gaps are the samples of the current window in seconds, and peakRunning the most attempts that ran at
	// once.
	firsts      []float64
	gaps        []float64
	peakRunning int
	// hasDecreased ends the doubling of the limit.
	hasDecreased bool
	// loadedWindows is the number of loaded windows since the baseline was last updated, and decreases that of decreases
	// in a row.
	loadedWindows int
	decreases     int
	// loadedFirst is the mean time to first byte in the last loaded window, in seconds.
	loadedFirst float64
	probe       probe
}

// LimitOption sets a field of a Limit under construction.
type LimitOption func(*Limit)

// InitialLimit sets the limit before the first adjustment.
func InitialLimit(n int) LimitOption { return func(l *Limit) { l.value = float64(n) } }

// MaxLimit sets the upper bound.
func MaxLimit(n int) LimitOption { return func(l *Limit) { l.maxValue = float64(n) } }

// Fixed sets a limit that does not adapt.
func Fixed(n int) LimitOption {
	return func(l *Limit) { l.value, l.minValue, l.maxValue = float64(n), float64(n), float64(n) }
}

// Tolerance sets the ratio of latency to baseline above which the limit shrinks.
func Tolerance(ratio float64) LimitOption { return func(l *Limit) { l.tolerance = ratio } }

// NewLimit returns a limit without samples and with an unknown baseline.
func NewLimit(options ...LimitOption) Limit {
	l := Limit{value: DefaultInitialLimit, minValue: DefaultMinLimit, maxValue: DefaultMaxLimit, tolerance: DefaultTolerance}
	for _, option := range options {
		option(&l)
	}
	l.value = min(l.value, l.maxValue)
	return l
}

// Value returns how many attempts may run at once, which is less during a probe.
func (l Limit) Value() int {
	if l.probe != probeNone {
		return int(math.Max(l.minValue, l.value*lowLoadFraction))
	}
	return int(l.value)
}

// WithSample returns the limit after an attempt finished; running is the number of attempts that ran then, itself
// included. Samples count in windows of windowSamples; a fixed limit stays as it is.
func (l Limit) WithSample(s Sample, running int) Limit {
	if l.minValue == l.maxValue {
		return l
	}
	l.firsts = append(slices.Clip(l.firsts), s.TimeToFirstByte.Seconds())
	if s.MeanGap > 0 {
		l.gaps = append(slices.Clip(l.gaps), s.MeanGap.Seconds())
	}
	l.peakRunning = max(l.peakRunning, running)
	if len(l.firsts) < windowSamples {
		return l
	}
	l = l.withWindow(mean(l.firsts), mean(l.gaps))
	l.firsts, l.gaps, l.peakRunning = nil, nil, 0
	return l
}

// withWindow adjusts the limit by the mean time to first byte and the mean gap of a full window, in seconds.
func (l Limit) withWindow(first, gap float64) Limit {
	isLowLoad := float64(l.peakRunning) <= l.value*lowLoadFraction
	switch {
	case l.probe == probeDrain:
		l.probe = probeMeasure
		return l
	case l.probe == probeMeasure, isLowLoad:
		return l.withBaselineWindow(first, gap)
	}
	l.loadedFirst = first
	l = l.withLoadedWindow(max(ratioTo(first, l.baselineFirst), ratioTo(gap, l.baselineGap)))
	if l.loadedWindows >= probeInterval || l.decreases >= probeDecreases || l.baselineFirst == 0 {
		l.probe = probeDrain
	}
	return l
}

// withBaselineWindow updates the baseline after a window at low load or in a probe. If latency in a probe exceeds the
// tolerance and is nearly as high as under load, load is not the cause, and the old baseline is discarded. If it fell
// about as far as the limit was lowered, the limit stays lowered and the baseline starts anew, too.
func (l Limit) withBaselineWindow(first, gap float64) Limit {
	if l.probe == probeMeasure && first > unchangedLatencyRatio*l.loadedFirst && first > l.tolerance*l.baselineFirst {
		l.baselineFirst, l.baselineGap = 0, 0
	}
	if l.probe == probeMeasure && first < saturatedLatencyRatio*l.loadedFirst {
		l.value, l.hasDecreased = l.value*lowLoadFraction, true
		l = l.clamped()
		l.baselineFirst, l.baselineGap = 0, 0
	}
	l.baselineFirst, l.baselineGap = updateBaseline(l.baselineFirst, first), updateBaseline(l.baselineGap, gap)
	l.probe, l.loadedWindows, l.decreases = probeNone, 0, 0
	return l
}

// withLoadedWindow adjusts the limit after a window under load; ratio is that of its latency to the baseline.
func (l Limit) withLoadedWindow(ratio float64) Limit {
	isFull := l.peakRunning >= int(l.value)
	l.loadedWindows++
	switch {
	case ratio > l.tolerance:
		l.value, l.hasDecreased = l.value*math.Max(minDecreaseFactor, l.tolerance/ratio), true
		l.decreases++
		return l.clamped()
	case isFull && !l.hasDecreased:
		l.value *= 2
	case isFull:
		l.value += max(1, l.value*growthFraction)
	}
	l.decreases = 0
	return l.clamped()
}

func (l Limit) clamped() Limit {
	l.value = math.Min(math.Max(l.value, l.minValue), l.maxValue)
	return l
}

// updateBaseline returns the moving average of a baseline after a window's mean; 0 stands for an unknown value.
func updateBaseline(baseline, mean float64) float64 {
	if baseline == 0 || mean == 0 {
		return max(baseline, mean)
	}
	return baseline + baselineWeight*(mean-baseline)
}

// ratioTo returns a value as a multiple of a baseline, 0 if the baseline is unknown.
func ratioTo(value, baseline float64) float64 {
	if baseline <= 0 {
		return 0
	}
	return value / baseline
}

func mean(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total / max(1, float64(len(values)))
}
