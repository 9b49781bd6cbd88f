package pauser

import (
	"context"
	"math/rand/v2"
	"time"
)

// Wait waits for d or until ctx ends, and reports whether it waited for all of d.
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

// Jitter waits as Wait does, for a random duration from half of d up to d, so that processes that pause at the same
// time do not go on at the same time. It panics if d is less than 2 ns.
func Jitter(ctx context.Context, d time.Duration) bool { return Wait(ctx, d/2+rand.N(d/2)) }
