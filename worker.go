package kingcupstile

import (
	"context"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Worker is a client of one rank of a group; its errors are of KindConflict for an order that the rank rejects,
// KindUncertain for one that it may still carry out, and KindUnavailable for a query without an answer.
type Worker interface {
	// Report returns the rank's report of its own state.
	Report(ctx context.Context) (rank.Report, error)
	// Counts returns the number of times that the rank's requests chose each expert.
	Counts(ctx context.Context) (rank.Counts, error)
	// Holdings returns the experts that the rank holds, in the map in use and in the prepared one.
	Holdings(ctx context.Context) (rank.Holdings, error)
	// SendOrder sends an order; it returns nil if the rank has begun to carry it out or is already in that state.
	SendOrder(ctx context.Context, o rank.Order) error
}

// Executor is a client of one rank whose orders are followed to their end by the process on the rank's own VM.
type Executor interface {
	// Report returns the rank's report of its own state.
	Report(ctx context.Context) (rank.Report, error)
	// Holdings returns the experts that the rank holds, in the map in use and in the prepared one.
	Holdings(ctx context.Context) (rank.Holdings, error)
	// Execute sends an order and returns the rank's state after it; for a map, once the rank has copied it.
	Execute(ctx context.Context, o rank.Order) (rank.OrderResult, error)
	// ExecuteDirect sends an order to the rank itself, bypassing the process on its VM, and returns its state after it.
	ExecuteDirect(ctx context.Context, o rank.Order) (rank.OrderResult, error)
}
