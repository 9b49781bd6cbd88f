package kingcupstile

import (
	"context"

	"github.com/kingcupstile/kingcupstile/state/demand"
)

// HealthChecker asks one runner for its health.
type HealthChecker interface {
	// Check returns what the head of the answer to a health check at a path says, or an Error if there is no answer.
	Check(ctx context.Context, path string) (demand.Reply, error)
}
