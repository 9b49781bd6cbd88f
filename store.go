package kingcupstile

import (
	"context"

	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Store reads the platform's objects and writes them by compare-and-swap; its errors are of KindConflict, KindMissing,
// KindLimited, KindUnavailable, or KindUncertain if a write may have taken effect.
type Store interface {
	// Get returns the stored object, or an Error of KindMissing.
	Get(ctx context.Context, kind object.Kind, name string) (object.Object, error)
	// Put writes o if the stored version equals o.Version(), 0 to create it, and returns it with its new version.
	Put(ctx context.Context, o object.Object) (object.Object, error)
	// Watch waits until the object's version exceeds after and returns it, or an Error of KindMissing on timeout.
	Watch(ctx context.Context, kind object.Kind, name string, after uint64) (object.Object, error)
}

// VMLister reads the platform's VM list, which may be stale.
type VMLister interface {
	// VMs waits until the list's version exceeds after and returns it, or an Error of KindMissing on timeout.
	VMs(ctx context.Context, after uint64) (roster.Roster, error)
}
