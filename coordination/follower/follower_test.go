package follower_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/follower"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/position"
)

// store is a feed that fails until its calls are allowed.
type store struct {
	mu    sync.Mutex
	up    bool
	calls int
}

// enter counts a call and reports whether calls are allowed.
func (s *store) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.up
}

func (s *store) List(context.Context) (listing.Listing[string], error) {
	if !s.enter() {
		return listing.Listing[string]{}, fault.New[kingcupstile.Kind]("list", kingcupstile.KindUnavailable, nil)
	}
	return listing.Listing[string]{Position: position.New(0, 1)}, nil
}

func (s *store) Changes(ctx context.Context, after position.Position, wait time.Duration) (listing.Changes[string], error) {
	s.enter()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return listing.Changes[string]{}, ctx.Err()
	}
	return listing.Changes[string]{Position: after}, nil
}

type clock struct{ start time.Time }

func (c clock) Now() time.Duration { return time.Since(c.start) }

// sink counts what it is given.
type sink struct{ listed, failed atomic.Int64 }

func (s *sink) Listed(listing.Listing[string], time.Duration)  { s.listed.Add(1) }
func (s *sink) Changed(listing.Changes[string], time.Duration) {}
func (s *sink) Failed(error)                                   { s.failed.Add(1) }

// TestOutageOfTheStore lets the store be down for 20 s: a process that learns from others when it is back asks it a fifth
// as often, and either kind of process lists soon after its return.
func TestOutageOfTheStore(t *testing.T) {
	for name, test := range map[string]struct {
		linked bool
		most   int
		within time.Duration
	}{
		"by itself": {false, 110, 500 * time.Millisecond},
		"linked":    {true, 24, 2100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, got := &store{}, &sink{}
				ctx, cancel := context.WithCancel(t.Context())
				f := follower.New[string](s, clock{time.Now()}, got, follower.Linked[string](func() bool { return test.linked }))
				done := make(chan struct{})
				go func() {
					f.Run(ctx)
					close(done)
				}()
				time.Sleep(20 * time.Second)
				synctest.Wait()
				s.mu.Lock()
				if s.calls > test.most || int(got.failed.Load()) != s.calls {
					t.Errorf("%d calls and %d failures in 20 s", s.calls, got.failed.Load())
				}
				s.up = true
				s.mu.Unlock()
				time.Sleep(test.within)
				synctest.Wait()
				if got.listed.Load() != 1 {
					t.Errorf("%d listings within %v of the store's return", got.listed.Load(), test.within)
				}
				cancel()
				<-done
			})
		})
	}
}
