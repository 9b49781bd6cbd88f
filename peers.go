package kingcupstile

import (
	"context"

	"github.com/kingcupstile/kingcupstile/state/member"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Peers calls other entries at their IP address and port; a call without an answer returns an Error of KindUnavailable.
type Peers interface {
	// Exchange sends this entry's heartbeat and returns the peer's.
	Exchange(ctx context.Context, address string, b member.Heartbeat) (member.Heartbeat, error)
	// Head returns the encoded head of the configuration that the peer holds.
	Head(ctx context.Context, address string) ([]byte, error)
	// Parts returns the encoded parts by name, without those that the peer does not hold.
	Parts(ctx context.Context, address string, names []string) (map[string][]byte, error)
	// Roster returns the changes of the peer's VM list since a version.
	Roster(ctx context.Context, address string, after uint64) (roster.Change, error)
}

// StatusReader reads the state of other entries.
type StatusReader interface {
	// Status returns what the entry at an address reports about itself, or an Error of KindUnavailable.
	Status(ctx context.Context, address string) (member.Status, error)
}
