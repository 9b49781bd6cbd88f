package kingcupstile

import (
	"github.com/kingcupstile/kingcupstile/state/pool"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Picker chooses the endpoint that runs the next attempt.
type Picker interface {
	// Pick returns an endpoint of the pool that accepts new work and whose name is not in avoid, or false if there is
	// none; requests with equal affinity run better on the same endpoint, and 0 means no affinity.
	Pick(p pool.Pool, affinity uint64, avoid []string) (roster.Endpoint, bool)
}

// InFlight counts this process's own attempts in flight and its failures, by endpoint.
type InFlight interface {
	// Count returns the number of attempts in flight on the named endpoint, and the number of attempts that failed there
	// since the last success, which decays with time.
	Count(endpoint string) (open, failures int)
}
