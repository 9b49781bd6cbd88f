package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/follower"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/listing"
)

// store is a feed that fails until its calls are allowed.
type store struct {
	up    bool
	calls int
}

func (s *store) List(context.Context) (listing.Listing[string], error) {
	s.calls++
	if !s.up {
		return listing.Listing[string]{}, fault.New[kingcupstile.Kind]("list", kingcupstile.KindUnavailable, nil)
	}
	return listing.Listing[string]{Revision: 1}, nil
}

func (s *store) Changes(ctx context.Context, after uint64, wait time.Duration) (listing.Changes[string], error) {
	s.calls++
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return listing.Changes[string]{}, ctx.Err()
	}
	return listing.Changes[string]{Revision: after}, nil
}

type clock struct{ start time.Time }

func (c clock) Now() time.Duration { return time.Since(c.start) }

// sink counts what it is given.
type sink struct{ listed, failed int }

func (s *sink) Listed(listing.Listing[string], time.Duration)  { s.listed++ }
func (s *sink) Changed(listing.Changes[string], time.Duration) {}
func (s *sink) Failed(error)                                   { s.failed++ }

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
				if s.calls > test.most || got.failed != s.calls {
					t.Errorf("%d calls and %d failures in 20 s", s.calls, got.failed)
				}
				s.up = true
				time.Sleep(test.within)
				synctest.Wait()
				if got.listed != 1 {
					t.Errorf("%d listings within %v of the store's return", got.listed, test.within)
				}
				cancel()
				<-done
			})
		})
	}
}
