package pacer

import "time"

// loadWeight is the weight of one more observed load in the mean.
const loadWeight = 0.1

// Level is the share of each runner's slots that may be in use, as an immutable value. Unlike Pace, it bounds the work of
// all entries together, as they see what each runner has open, and needs no share of its own for each entry. It follows
// the mean gap between events, which is the same for all runners of a group.
type Level struct {
	limit, load float64
	least       float64
	// usable is the part of the limit that all requests may use, however urgent.
	usable             float64
	targetGap, baseGap time.Duration
	// maxGap is the longest gap that is in time, 0 if it is not known.
	maxGap time.Duration
	peaks  Peaks
	gaps   gaps
}

// NewLevel returns a level at which all slots may be in use, without a target for gaps.
func NewLevel() Level { return Level{limit: 1, usable: 1} }

// WithTarget returns the level with the mean gap between events to hold, 0 for none, and the gap at a runner without other work.
func (l Level) WithTarget(targetGap, baseGap time.Duration) Level {
	l.targetGap, l.baseGap = targetGap, baseGap
	return l
}

// WithMaxGap returns the level with the longest gap that is in time, 0 if it is not known. With it, the mean gap to hold is below it by
// the margin that the longest gaps take, but not less than the target.
func (l Level) WithMaxGap(longest time.Duration) Level {
	l.maxGap = longest
	return l
}

// meanGap returns the mean gap to hold.
func (l Level) meanGap() time.Duration {
	if margin, known := l.peaks.Margin(); known && l.maxGap > 0 {
		return max(l.targetGap, l.maxGap-margin)
	}
	return l.targetGap
}

// WithSlots returns the level for runners that each execute a number of requests at once, 0 if it is not known: one request may be
// open at each of them in any case.
func (l Level) WithSlots(slots float64) Level {
	l.least = 1 / max(1, slots)
	return l
}

// WithUsable returns the level of which only a part may be used by all requests. Runners are not used beyond it unless urgent requests
// come, so that the limit grows once most of that part is in use.
func (l Level) WithUsable(part float64) Level {
	l.usable = part
	return l
}

// WithLoad returns the level after a runner was seen with a share of its slots in use.
func (l Level) WithLoad(share float64) Level {
	l.load += loadWeight * (share - l.load)
	return l
}

// Limit returns the share of slots that may be in use, from that of a single request to 1.
func (l Level) Limit() float64 { return l.limit }

// Allowed returns how many requests a runner with a number of slots may have open. The offset, from 0 to 1, differs
// between runners, so that their mean is the limit although each has a whole number.
func (l Level) Allowed(slots int, offset float64) int { return l.AllowedPart(1, slots, offset) }

// AllowedPart returns the same for requests that may use a part of the limit only.
func (l Level) AllowedPart(part float64, slots int, offset float64) int {
	return max(1, min(slots, int(part*l.limit*float64(slots)+offset)))
}

// WithGap returns the level after a gap between two events of a stream, with the limit adjusted if that is due. The limit
// shrinks to what the mean load has to become, and grows only while most of it is in use, by up to one request at each runner.
func (l Level) WithGap(d, now time.Duration) Level {
	if l.targetGap == 0 {
		l.limit = 1
		return l
	}
	var mean time.Duration
	var due bool
	l.peaks = l.peaks.WithGap(d, now)
	if l.gaps, mean, due = l.gaps.with(d, now); !due {
		return l
	}
	factor := gapFactor(l.meanGap(), l.baseGap, mean)
	switch {
	case factor < 1:
		l.limit = min(l.limit, l.load*max(minFactor, factor))
	case l.load >= growthUse*l.usable*l.limit:
		l.limit = max(l.limit*min(maxFactor, factor), min(l.limit+l.least, l.limit*factor))
	}
	l.limit = min(max(l.limit, l.least), 1)
	return l
}
