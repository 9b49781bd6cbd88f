package kingcupstile

import (
	"context"
	"net/http"
	"time"

	"github.com/kingcupstile/kingcupstile/state/demand"
	"github.com/kingcupstile/kingcupstile/state/listing"
)

// Feed reads all objects of one kind as values; its errors are those of Store, and one of KindExpired.
type Feed[T any] interface {
	// List returns all objects, none older than the call.
	List(ctx context.Context) (listing.Listing[T], error)
	// Changes waits at most the given time for changes after a revision, or returns an Error of KindExpired when
	// the store has forgotten them.
	Changes(ctx context.Context, after uint64, wait time.Duration) (listing.Changes[T], error)
}

// Registry keeps this process's own object of a kind.
type Registry[T any] interface {
	// Register creates the named object or replaces it, whatever it holds.
	Register(ctx context.Context, name string, value T) error
	// Remove deletes the named object; one that is not there is no error.
	Remove(ctx context.Context, name string) error
}

// Clock tells the time since an arbitrary moment, and counts time in which the machine was suspended.
type Clock interface {
	// Now returns the time since that moment.
	Now() time.Duration
}

// Dialect translates heads of HTTP messages between callers, this system and runners.
type Dialect interface {
	// Demand returns what a caller's request asks for.
	Demand(r *http.Request) demand.Demand
	// Outgoing returns the header with which a caller's request goes to a runner.
	Outgoing(header http.Header, t demand.Target) http.Header
	// Reply returns what the head of a runner's answer says.
	Reply(status int, header http.Header) demand.Reply
	// Answer removes from a runner's header what concerns only the connection to the runner.
	Answer(header http.Header) http.Header
}
