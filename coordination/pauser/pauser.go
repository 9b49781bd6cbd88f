package pauser

import (
	"context"
	"math/rand/v2"
	"time"
)

// Wait waits and reports whether ctx is still going on.
func Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter waits half of d and a random share of the rest, and reports whether ctx is still going on.
func Jitter(ctx context.Context, d time.Duration) bool { return Wait(ctx, d/2+rand.N(d/2)) }
