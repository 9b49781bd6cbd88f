package pacer

import "time"

const (
	// peakWindow is how long a longest gap is kept at least, and half as long as it is kept at most: the time of a stream.
	peakWindow = 2 * time.Second
	// gapWeight is the weight of one more gap in the mean: that of all streams that an entry forwards in a few passes.
	gapWeight = 0.02
	// excessMargin is the factor by which the next gaps may exceed the mean more than the longest ones seen did.
	excessMargin = 1.5
)

// Peaks tells by how much the longest gaps between events exceed the mean, as an immutable value. In a group of many ranks some
// rank reads a prompt in nearly every pass, so that the mean already has what that takes.
type Peaks struct {
	mean float64
	// longest and before are the longest excess over the mean in the current window and in the one before.
	longest, before time.Duration
	windowAt        time.Duration
	// isKnown is whether a window is complete.
	isKnown bool
}

// WithGap returns the peaks after a gap between two events of a stream. One that is longer than streams stand still for under any
// load is left out.
func (p Peaks) WithGap(d, now time.Duration) Peaks {
	if d >= advanceWindow {
		return p
	}
	if p.mean == 0 {
		p.mean, p.windowAt = float64(d), now
	}
	if now-p.windowAt >= peakWindow {
		p.before, p.longest, p.windowAt = p.longest, 0, now
		p.isKnown = true
	}
	p.mean += gapWeight * (float64(d) - p.mean)
	p.longest = max(p.longest, d-time.Duration(p.mean))
	return p
}

// Margin returns how far the mean gap has to stay below the longest one in time, and false while too little is known.
func (p Peaks) Margin() (time.Duration, bool) {
	return time.Duration(excessMargin * float64(max(p.longest, p.before))), p.isKnown
}
