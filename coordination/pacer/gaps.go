package pacer

import "time"

// gaps collects the gaps between events until a limit may be adjusted to their mean.
type gaps struct {
	sum        time.Duration
	count      int
	adjustedAt time.Duration
}

// with returns the gaps with one more. It returns the mean and begins anew if an adjustment is due, and false otherwise.
func (g gaps) with(d, now time.Duration) (next gaps, mean time.Duration, due bool) {
	g.sum += d
	g.count++
	if now-g.adjustedAt < adjustInterval || g.count < minGaps {
		return g, 0, false
	}
	return gaps{adjustedAt: now}, g.sum / time.Duration(g.count), true
}

// gapFactor returns the ratio of the target gap to the mean gap, each less the gap without work: the remainder grows in
// proportion to the open requests.
func gapFactor(targetGap, baseGap, mean time.Duration) float64 {
	return float64(max(targetGap-baseGap, time.Millisecond)) / float64(max(mean-baseGap, time.Millisecond))
}
