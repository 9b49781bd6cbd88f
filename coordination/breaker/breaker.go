package breaker

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

const (
	// settleTime is how long events and reports may still arrive that were sent before a runner was lost.
	settleTime = 200 * time.Millisecond
	// confirmTime is how long after a loss without any progress the runners count as down.
	confirmTime = 300 * time.Millisecond
	// firstEstimate is the expected duration of an outage before one was seen: a process starts, and its group is formed.
	firstEstimate = 3500 * time.Millisecond
	// maxOutage is how long requests are kept from runners that show no progress.
	maxOutage = 30 * time.Second
	// silenceTimeout is how long after a loss the breaker closes if no process beside a runner tells anything.
	silenceTimeout = time.Second
	// overdueShare is the part of the time since a loss that an outage is expected to last on once it is longer than usual.
	overdueShare = 0.25
)

// Breaker is what one entry knows of the outage of a service's runners, as an immutable value.
type Breaker struct {
	isOpen           bool
	lostAt, closedAt time.Duration
	// usual is the mean duration of past outages, 0 before the first.
	usual time.Duration
	// seen is the latest load that was reported since the loss.
	seen    rank.Load
	hasSeen bool
}

// IsOpen reports whether requests are kept from the runners, until they show that they advance.
func (b Breaker) IsOpen() bool { return b.isOpen }

// IsDown reports whether the runners have made no progress for so long after a loss that they count as down.
func (b Breaker) IsDown(now time.Duration) bool { return b.isOpen && now-b.lostAt >= confirmTime }

// Remaining returns how long an outage is expected to last on, 0 if there is none.
func (b Breaker) Remaining(now time.Duration) time.Duration {
	if !b.isOpen {
		return 0
	}
	estimate, elapsed := b.usual, now-b.lostAt
	if estimate == 0 {
		estimate = firstEstimate
	}
	if elapsed < estimate {
		return estimate - elapsed
	}
	return time.Duration(overdueShare * float64(elapsed))
}

// WithLoss returns the breaker after a runner was lost at a time; a loss before the end of the last outage is ignored.
func (b Breaker) WithLoss(at time.Duration) Breaker {
	if b.isOpen || at <= b.closedAt {
		return b
	}
	b.isOpen, b.lostAt, b.hasSeen = true, at, false
	return b
}

// WithEvent returns the breaker after an event of a stream was received.
func (b Breaker) WithEvent(now time.Duration) Breaker {
	if b.isOpen && now-b.lostAt > settleTime {
		return b.closed(now)
	}
	return b
}

// WithLoads returns the breaker after some processes beside runners were asked, with the loads that they reported. It closes
// when a group has begun another pass or was formed anew, or when there is no work at all, so that none can show.
func (b Breaker) WithLoads(loads []rank.Load, now time.Duration) Breaker {
	if !b.isOpen || now-b.lostAt <= settleTime {
		return b
	}
	since := now - b.lostAt
	isSilent := !b.hasSeen && len(loads) == 0 && since > silenceTimeout
	advances := slices.ContainsFunc(loads, func(l rank.Load) bool { return b.hasSeen && l.GroupOpen && isLater(l, b.seen) })
	if advances || isSilent || since > maxOutage || since >= confirmTime && areIdle(loads) {
		return b.closed(now)
	}
	for _, l := range loads {
		if !b.hasSeen || isLater(l, b.seen) {
			b.seen, b.hasSeen = l, true
		}
	}
	return b
}

// isLater reports whether a load was reported in a later pass than another.
func isLater(l, other rank.Load) bool {
	return l.Epoch > other.Epoch || l.Epoch == other.Epoch && l.Step > other.Step
}

// areIdle reports whether all ranks that report are in a group without work.
func areIdle(loads []rank.Load) bool {
	for _, l := range loads {
		if !l.GroupOpen || l.Open > 0 {
			return false
		}
	}
	return len(loads) > 0
}

// closed returns the closed breaker, with the duration of the outage in the mean if there was one.
func (b Breaker) closed(now time.Duration) Breaker {
	if took := now - b.lostAt; took >= 2*confirmTime && took < maxOutage {
		if b.usual == 0 {
			b.usual = took
		}
		b.usual = (b.usual + took) / 2
	}
	b.isOpen, b.closedAt = false, now
	return b
}
