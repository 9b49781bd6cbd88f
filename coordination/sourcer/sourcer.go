package sourcer

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/position"
)

const (
	// copyWait is the longest wait for changes at a copy, so that the loss of the entry that holds it is noticed soon.
	copyWait = 2 * time.Second
	// copySlack is how long after its wait a copy may answer.
	copySlack = 500 * time.Millisecond
	// fallbackWait is the longest wait for changes at the store after a copy failed, after which a copy is tried again.
	fallbackWait = 900 * time.Millisecond
	// directWait is the wait up to which changes are asked of the store: such a short one is for an entry that knows that
	// its copy is behind.
	directWait = 20 * time.Millisecond
)

// Feed reads objects of one kind; it implements the root package's Feed.
type Feed[T any] struct {
	store kingcupstile.Feed[T]
	near  func() (kingcupstile.Feed[T], bool)
}

// New returns a feed that reads from the copy that near offers at the time, and from the store if it offers none.
func New[T any](store kingcupstile.Feed[T], near func() (kingcupstile.Feed[T], bool)) Feed[T] {
	return Feed[T]{store: store, near: near}
}

// List returns all objects, of a copy as it is and else of the store.
func (f Feed[T]) List(ctx context.Context) (listing.Listing[T], error) {
	if copied, offered := f.near(); offered {
		call, cancel := context.WithTimeout(ctx, copySlack)
		defer cancel()
		if l, err := copied.List(call); err == nil {
			l.Unconfirmed = true
			return l, nil
		}
	}
	return f.store.List(ctx)
}

// Changes waits for changes after a position, for at most 2 s at a copy. A copy that is behind has none. It returns an
// Error of KindExpired if the copy or the store no longer has them.
func (f Feed[T]) Changes(ctx context.Context, after position.Position, wait time.Duration) (listing.Changes[T], error) {
	if copied, offered := f.near(); offered && wait > directWait {
		call, cancel := context.WithTimeout(ctx, copyWait+copySlack)
		defer cancel()
		c, err := copied.Changes(call, after, min(wait, copyWait))
		c.Position, c.Unconfirmed = position.Max(c.Position, after), true
		if err == nil || fault.KindOf[kingcupstile.Kind](err) == kingcupstile.KindExpired || ctx.Err() != nil {
			return c, err
		}
		wait = min(wait, fallbackWait)
	}
	return f.store.Changes(ctx, after, wait)
}
