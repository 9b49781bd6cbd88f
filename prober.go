package kingcupstile

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Prober asks the processes beside runners for the runners' loads, at the runners' addresses.
type Prober interface {
	// Probe returns the loads by address; it waits until all runners have answered, at most for the given time
	// and, while none has, for twice that time.
	Probe(ctx context.Context, addresses []string, wait time.Duration) map[string]rank.Load
	// Announce tells the process beside a runner that a request is about to be sent to the runner.
	Announce(address string)
}
