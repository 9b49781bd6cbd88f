package kingcupstile

import (
	"context"
	"net/http"
	"time"

	"github.com/kingcupstile/kingcupstile/state/demand"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/position"
)

// Feed lists and watches all objects of one kind, decoded; it returns the errors of Store, and one of KindExpired.
type Feed[T any] interface {
	// List returns all objects as they are at or after the time of the call or, where it says so, of an earlier time.
	List(ctx context.Context) (listing.Listing[T], error)
	// Changes waits for at most the given time for changes after a position; it returns an Error of KindExpired
	// if the store no longer keeps them or answers in another era, and the caller must list again.
	Changes(ctx context.Context, after position.Position, wait time.Duration) (listing.Changes[T], error)
}

// Registry writes this process's own object of one kind.
type Registry[T any] interface {
	// Register creates the named object, or replaces it unconditionally.
	Register(ctx context.Context, name string, value T) error
	// Remove deletes the named object; it returns nil if there is none.
	Remove(ctx context.Context, name string) error
}

// Clock is a monotonic clock that keeps counting while the VM is suspended.
type Clock interface {
	// Now returns the time since an arbitrary but fixed moment.
	Now() time.Duration
}

// Dialect translates the heads of HTTP messages between callers, this process and runners.
type Dialect interface {
	// ParseRequest returns what a caller's request asks for.
	ParseRequest(r *http.Request) demand.Request
	// RequestHeader returns the header to send to a runner, made from that of the caller's request.
	RequestHeader(header http.Header, t demand.Target) http.Header
	// ParseReply returns what the head of a runner's answer says.
	ParseReply(status int, header http.Header) demand.Reply
	// ResponseHeader returns the header to send to the caller: a runner's without its hop-by-hop headers.
	ResponseHeader(header http.Header) http.Header
	// LatestReturn returns after which part of the time that a caller has left it returns at the latest, whatever it was told.
	LatestReturn(left time.Duration) time.Duration
}
