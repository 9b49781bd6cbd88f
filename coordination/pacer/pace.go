package pacer

import "time"

const (
	// aimShare is the share of the longest pause in time that the mean pause is held at; the rest is for passes that also
	// read prompts and for the way.
	aimShare = 0.75
	// adjustEvery is how long pauses are gathered before the limit changes: a pass or two.
	adjustEvery = 150 * time.Millisecond
	// fewestPauses is how many pauses have to be gathered, so that one late event decides nothing.
	fewestPauses = 4
	// most and least bound one change of the limit, as factors.
	most, least = 1.06, 0.8
	// used is the share of the limit that has to be in use before it grows.
	used = 0.8
)

// Pace is how many requests may be open, learnt from the pauses between events.
type Pace struct {
	limit, floor, ceiling float64
	gap, base             time.Duration
	open                  int
	sum                   time.Duration
	pauses                int
	since                 time.Duration
	mean                  time.Duration
}

// Bounds are what the deployment says of a service's room at one entry.
type Bounds struct {
	// Floor and Ceiling bound the limit.
	Floor, Ceiling float64
	// Gap is the longest pause that is in time, 0 if the limit is the ceiling.
	Gap time.Duration
	// Base is the pause without any work.
	Base time.Duration
}

// New returns the pace of a service within bounds.
func New(b Bounds) Pace { return Pace{limit: b.Floor}.WithBounds(b) }

// WithBounds returns the pace within other bounds.
func (p Pace) WithBounds(b Bounds) Pace {
	p.floor, p.ceiling, p.gap, p.base = b.Floor, max(b.Floor, b.Ceiling), b.Gap, b.Base
	if p.gap == 0 {
		p.limit = p.ceiling
	}
	p.limit = min(max(p.limit, p.floor), p.ceiling)
	return p
}

// Open returns how many requests are open.
func (p Pace) Open() int { return p.open }

// Limit returns how many requests may be open.
func (p Pace) Limit() float64 { return p.limit }

// Mean returns the mean pause between events when last looked at, 0 if there was none.
func (p Pace) Mean() time.Duration { return p.mean }

// HasRoom reports whether one more request may be opened.
func (p Pace) HasRoom() bool { return float64(p.open+1) <= max(1, p.limit) }

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

// WithPause returns the pace after a pause between two events of a stream.
func (p Pace) WithPause(d, now time.Duration) Pace {
	if p.gap == 0 {
		return p
	}
	p.sum += d
	p.pauses++
	if now-p.since < adjustEvery || p.pauses < fewestPauses {
		return p
	}
	p.mean = p.sum / time.Duration(p.pauses)
	p.sum, p.pauses, p.since = 0, 0, now
	return p.adjusted()
}

// adjusted returns the pace with the limit at which the mean pause, less what it has without work, would meet its aim.
func (p Pace) adjusted() Pace {
	aim := time.Duration(aimShare * float64(p.gap))
	factor := float64(max(aim-p.base, time.Millisecond)) / float64(max(p.mean-p.base, time.Millisecond))
	switch {
	case factor < 1:
		p.limit = min(p.limit, float64(p.open)+1) * max(least, factor)
	case float64(p.open) >= used*p.limit:
		p.limit = max(p.limit*min(most, factor), min(p.limit+1, p.limit*factor))
	}
	p.limit = min(max(p.limit, p.floor), p.ceiling)
	return p
}
