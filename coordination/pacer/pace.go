package pacer

import (
	"math"
	"time"
)

const (
	// adjustInterval is the shortest time between two changes of the limit: one or two passes of an engine.
	adjustInterval = 150 * time.Millisecond
	// minGaps is how many gaps a mean takes at least, so that a single late event does not change the limit.
	minGaps = 4
	// maxFactor and minFactor bound the factor of one change of the limit. Beyond maxFactor, the limit may still grow
	// by up to one request, if the gaps allow it.
	maxFactor, minFactor = 1.06, 0.8
	// growthUse is the share of the limit that has to be in use for it to grow.
	growthUse = 0.8
)

// Pace is an adaptive concurrency limit with the number of open requests, as an immutable value. The limit follows the
// mean gap between events of streams.
type Pace struct {
	limit, floor, ceiling float64
	slots                 float64
	targetGap, baseGap    time.Duration
	maxGap                time.Duration
	open                  int
	gaps                  gaps
	meanGap               time.Duration
}

// Bounds are the limits, in requests, and the target gaps of a service at one entry.
type Bounds struct {
	// Floor and Ceiling bound the limit, in open requests, and Start is where it starts, at the floor if that is higher.
	Floor, Start, Ceiling float64
	// Slots is how many requests each runner executes at once, 0 if it is not known.
	Slots float64
	// TargetGap is the mean gap between events to hold; if it is 0, the limit is always the ceiling.
	TargetGap time.Duration
	// MaxGap is the longest gap that is in time, 0 if it is not known.
	MaxGap time.Duration
	// BaseGap is the gap between events of a stream at a runner without other work.
	BaseGap time.Duration
}

// New returns a pace without open requests.
func New(b Bounds) Pace { return Pace{limit: b.Start}.WithBounds(b) }

// WithBounds returns the pace with other bounds, to which the limit is clamped.
func (p Pace) WithBounds(b Bounds) Pace {
	p.floor, p.ceiling, p.targetGap, p.baseGap, p.slots = b.Floor, max(b.Floor, b.Ceiling), b.TargetGap, b.BaseGap, b.Slots
	p.maxGap = b.MaxGap
	if p.targetGap == 0 {
		p.limit = p.ceiling
	}
	p.limit = min(max(p.limit, p.floor), p.ceiling)
	return p
}

// Open returns how many requests are open.
func (p Pace) Open() int { return p.open }

// Limit returns how many requests may be open; HasRoom allows one even if it is lower.
func (p Pace) Limit() float64 { return p.limit }

// MeanGap returns the mean gap at the last adjustment of the limit, 0 if there was none.
func (p Pace) MeanGap() time.Duration { return p.meanGap }

// HasRoom reports whether one more request may be opened.
func (p Pace) HasRoom() bool { return float64(p.open+1) <= max(1, p.limit) }

// WaitFor returns how long a request with a number of others ahead of it is expected to wait until it may be opened, if requests
// stay open for some duration: of those that are open, one closes in every part of the duration.
func (p Pace) WaitFor(ahead int, duration time.Duration) time.Duration {
	closings := float64(p.open+ahead+1) - max(1, p.limit)
	if closings <= 0 || p.open == 0 {
		return 0
	}
	return time.Duration(math.Ceil(closings) / float64(p.open) * float64(duration))
}

// WithOpened returns the pace with one more open request.
func (p Pace) WithOpened() Pace {
	p.open++
	return p
}

// WithClosed returns the pace with one open request less.
func (p Pace) WithClosed() Pace {
	p.open--
	return p
}

// WithGap returns the pace after a gap between two events of a stream, with the limit adjusted if that is due.
func (p Pace) WithGap(d, now time.Duration) Pace {
	if p.targetGap == 0 {
		return p
	}
	next, mean, due := p.gaps.with(d, now)
	p.gaps = next
	if !due {
		return p
	}
	p.meanGap = mean
	return p.withAdjustedLimit()
}

// withAdjustedLimit sets the limit by the gapFactor. The limit shrinks to what the open requests have to become, and no further while
// they have not ended; it grows only while most of it is in use: a share of it, or as many whole requests as it allows.
func (p Pace) withAdjustedLimit() Pace {
	factor := gapFactor(p.targetGap, p.baseGap, p.meanGap)
	switch {
	case factor < 1:
		p.limit = min(p.limit, float64(p.open)*max(minFactor, factor))
	case float64(p.open) >= growthUse*p.limit || !p.HasRoom():
		p.limit = max(p.limit*min(maxFactor, factor), min(p.limit+1, p.limit*factor))
	}
	p.limit = min(max(p.limit, p.floor), p.ceiling)
	return p
}
