package kingcupstile

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/expert"
)

// Rebalancer decides which rank of a group holds which experts.
type Rebalancer interface {
	// Rebalance returns the map to switch to, or current if no expert should move.
	Rebalance(current expert.Map, load expert.Load, at time.Time) expert.Map
}
