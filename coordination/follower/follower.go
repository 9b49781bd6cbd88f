package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/listing"
)

// The times of calls and pauses.
const (
	// DefaultWait is how long a watch waits: news counts from when it was asked for, so that it is never older than two waits.
	DefaultWait = 900 * time.Millisecond
	// nudgedWait is how long a watch waits after a nudge: its answer is wanted at once.
	nudgedWait = 10 * time.Millisecond
	// gather is how long changes are gathered before the next watch, as each watch costs a call.
	gather = 300 * time.Millisecond
	// slack is how much later than its wait the answer of a watch may come: a hundred times the store's usual time.
	slack = 400 * time.Millisecond
	// listTimeout bounds a listing, which may take several pages.
	listTimeout = 2 * time.Second
	// minPause and maxPause bound the pause after a failure; the latter keeps a returning store from being missed for long.
	minPause = 50 * time.Millisecond
	maxPause = 400 * time.Millisecond
)

// Sink takes what a follower learns; asked is when the question was sent.
type Sink[T any] interface {
	// Listed brings all objects.
	Listed(l listing.Listing[T], asked time.Duration)
	// Changed brings what changed since the last report, which may be nothing.
	Changed(c listing.Changes[T], asked time.Duration)
	// Lost says that a call failed.
	Lost(err error)
}

// Follower reads one feed for one sink.
type Follower[T any] struct {
	feed  kingcupstile.Feed[T]
	clock kingcupstile.Clock
	sink  Sink[T]
	wait  func() time.Duration
	nudge chan struct{}
}

// Option sets a field of a Follower under construction.
type Option[T any] func(*Follower[T])

// Wait sets what tells how long the next watch waits.
func Wait[T any](wait func() time.Duration) Option[T] { return func(f *Follower[T]) { f.wait = wait } }

// New returns a follower that brings what it learns to sink.
func New[T any](feed kingcupstile.Feed[T], clock kingcupstile.Clock, sink Sink[T], options ...Option[T]) *Follower[T] {
	f := &Follower[T]{
		feed: feed, clock: clock, sink: sink, wait: func() time.Duration { return DefaultWait }, nudge: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Nudge ends the watch under way and asks anew at once.
func (f *Follower[T]) Nudge() {
	select {
	case f.nudge <- struct{}{}:
	default:
	}
}

// Run follows until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	pause := minPause
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		for err == nil {
			pause = minPause
			revision, err = f.changes(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if fault.KindOf[kingcupstile.Kind](err) == kingcupstile.KindExpired {
			continue
		}
		f.sink.Lost(err)
		if !pauser.Jitter(ctx, pause) {
			return
		}
		pause = min(2*pause, maxPause)
	}
}

func (f *Follower[T]) list(ctx context.Context) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := f.clock.Now()
	l, err := f.feed.List(call)
	if err != nil {
		return 0, err
	}
	f.sink.Listed(l, asked)
	return l.Revision, nil
}

func (f *Follower[T]) changes(ctx context.Context, revision uint64) (uint64, error) {
	c, asked, err := f.watch(ctx, revision, f.wait())
	for errors.Is(err, errNudged) {
		c, asked, err = f.watch(ctx, revision, nudgedWait)
	}
	if err != nil {
		return 0, err
	}
	f.sink.Changed(c, asked)
	if len(c.Items) > 0 {
		pauser.Jitter(ctx, gather)
	}
	return c.Revision, nil
}

// errNudged says that a watch was ended by a nudge.
var errNudged = errors.New("nudged")

// watch makes one call, which a nudge ends.
func (f *Follower[T]) watch(ctx context.Context, revision uint64, wait time.Duration) (listing.Changes[T], time.Duration, error) {
	call, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	type answer struct {
		changes listing.Changes[T]
		err     error
	}
	answers := make(chan answer, 1)
	asked := f.clock.Now()
	go func() {
		c, err := f.feed.Changes(call, revision, wait)
		answers <- answer{changes: c, err: err}
	}()
	nudge := f.nudge
	if wait == nudgedWait {
		nudge = nil
	}
	select {
	case a := <-answers:
		return a.changes, asked, a.err
	case <-nudge:
		return listing.Changes[T]{}, asked, errNudged
	}
}
