package kingcupstile

import (
	"context"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Worker is one rank of a group; its errors are KindConflict for an order that does not fit, KindUncertain for one that
// may be carried out later, and KindUnavailable for a question without an answer.
type Worker interface {
	// Report returns what the rank says of itself.
	Report(ctx context.Context) (rank.Report, error)
	// Counts returns how often the rank's requests chose each expert.
	Counts(ctx context.Context) (rank.Counts, error)
	// Holdings returns which experts the rank holds in the map in use and in the one that it has prepared.
	Holdings(ctx context.Context) (rank.Holdings, error)
	// Give gives an order; it returns nil when the order has begun or its state already holds.
	Give(ctx context.Context, o rank.Order) error
}

// Executor is a rank whose orders are seen to beside it.
type Executor interface {
	// Report returns what the rank says of itself.
	Report(ctx context.Context) (rank.Report, error)
	// Counts returns how often the rank's requests chose each expert.
	Counts(ctx context.Context) (rank.Counts, error)
	// Holdings returns which experts the rank holds in the map in use and in the one that it has prepared.
	Holdings(ctx context.Context) (rank.Holdings, error)
	// Carry gives an order and returns how the rank is after it, for a map once it is copied.
	Carry(ctx context.Context, o rank.Order) (rank.Carried, error)
	// Direct gives an order to the rank itself, not by way of its VM, and returns how the rank is after it.
	Direct(ctx context.Context, o rank.Order) (rank.Carried, error)
}
