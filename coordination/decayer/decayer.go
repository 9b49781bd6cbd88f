package decayer

import (
	"math"
	"time"
)

// Keep returns the share of a count that is left after a time: half of it for each half-life, linear between, and all of
// it for no time or less.
func Keep(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	remainder := float64(elapsed%halfLife) / float64(halfLife)
	return math.Ldexp(1-remainder/2, -int(elapsed/halfLife))
}
