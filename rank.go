package kingcupstile

import (
	"context"

	"github.com/kingcupstile/kingcupstile/state/expert"
)

// Rank is a client of one rank's engine, for the process in the same slot.
type Rank interface {
	// Status returns the rank's current status, or an Error of KindUnavailable.
	Status(ctx context.Context) (expert.Status, error)
	// Instruct sends an instruction and returns the rank's status after it, or an Error of KindUnavailable.
	Instruct(ctx context.Context, i expert.Instruction) (expert.Status, error)
}
