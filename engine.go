package kingcupstile

import (
	"context"

	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// Engine runs attempts on the process that answers requests in this endpoint's slot.
type Engine interface {
	// Run passes the answer's frames to emit in order; an error means that the answer is incomplete,
	// and one of KindUnavailable that no part of the request reached the engine.
	Run(ctx context.Context, a attempt.Attempt, emit func(attempt.Frame)) error
}
