package estimator

import "time"

const (
	// meanDivisor and deviationDivisor are the divisors of a sample's difference by which the mean and the deviation follow it, and
	// deviations how many deviations above the mean nearly all samples lie below, as for retransmission timeouts (RFC 6298).
	meanDivisor      = 8
	deviationDivisor = 4
	deviations       = 4
)

// Estimate is the smoothed mean and mean deviation of a duration, as an immutable value.
type Estimate struct {
	mean, deviation time.Duration
	isKnown         bool
}

// WithSample returns the estimate after a duration was measured.
func (e Estimate) WithSample(d time.Duration) Estimate {
	if !e.isKnown {
		return Estimate{mean: d, deviation: d / 2, isKnown: true}
	}
	difference := d - e.mean
	e.mean += difference / meanDivisor
	e.deviation += (difference.Abs() - e.deviation) / deviationDivisor
	return e
}

// IsKnown reports whether a duration was measured.
func (e Estimate) IsKnown() bool { return e.isKnown }

// Mean returns the mean, 0 if it is not known.
func (e Estimate) Mean() time.Duration { return e.mean }

// Most returns what nearly all durations stay below, 0 if it is not known.
func (e Estimate) Most() time.Duration { return e.mean + deviations*e.deviation }
