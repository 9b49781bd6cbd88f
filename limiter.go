package kingcupstile

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile/state/catalog"
)

// Limiter enforces each client account's rate limit for a service across all entries.
type Limiter interface {
	// Take counts one request under a grant of a service; over the limit it returns the time to retry after, and false.
	Take(ctx context.Context, service string, g catalog.Grant) (time.Duration, bool)
}
