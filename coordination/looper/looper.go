package looper

import (
	"context"
	"sync/atomic"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies the errors of a loop.
type Kind string

// KindStopped means that the loop has stopped and accepts no more events.
const KindStopped Kind = "stopped"

// Error is the error of a loop's operation.
type Error = fault.Error[Kind]

// QueueSize is the capacity of a loop's queue, in events; Send blocks while the queue is full.
const QueueSize = 1024

// Step computes the next state, and the effects to carry out, from a state and an event; it must be a pure function.
type Step[S, E, F any] func(state S, event E) (S, []F)

// Loop owns a control state and publishes a snapshot of it after each event.
type Loop[S, E, F any] struct {
	events   chan E
	stopped  chan struct{}
	snapshot atomic.Pointer[S]
	step     Step[S, E, F]
	handle   func(context.Context, F)
}

// New returns a loop that starts from initial and passes each effect to handle, which must not block;
// the context of handle is that of Run.
func New[S, E, F any](initial S, step Step[S, E, F], handle func(context.Context, F)) *Loop[S, E, F] {
	l := &Loop[S, E, F]{
		events:  make(chan E, QueueSize),
		stopped: make(chan struct{}),
		step:    step,
		handle:  handle,
	}
	l.snapshot.Store(&initial)
	return l
}

// Run applies events until ctx ends; it must be called only once.
func (l *Loop[S, E, F]) Run(ctx context.Context) {
	defer close(l.stopped)
	state := *l.snapshot.Load()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			next, effects := l.step(state, event)
			state = next
			l.snapshot.Store(&next)
			for _, effect := range effects {
				l.handle(ctx, effect)
			}
		}
	}
}

// Send queues an event; it returns ctx's error if ctx ends first, or an Error of KindStopped if the loop has stopped.
func (l *Loop[S, E, F]) Send(ctx context.Context, event E) error {
	select {
	case l.events <- event:
		return nil
	case <-l.stopped:
		return fault.New("send", KindStopped, nil)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Snapshot returns the state after the last event that was applied; it is safe for concurrent use.
func (l *Loop[S, E, F]) Snapshot() S { return *l.snapshot.Load() }
