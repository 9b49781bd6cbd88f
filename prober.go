package kingcupstile

import (
	"context"
	"time"
)

// Prober asks the processes beside runners for the runners' open requests, at the runners' addresses.
type Prober interface {
	// Probe returns the open requests by address; it waits until all runners have answered, at most for the given time
	// and, while none has, for twice that time.
	Probe(ctx context.Context, addresses []string, wait time.Duration) map[string]int
	// Announce tells the process beside a runner that a request is about to be sent to the runner.
	Announce(address string)
}
