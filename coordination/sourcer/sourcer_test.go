package sourcer_test

import (
	"context"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/sourcer"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/position"
)

// feed counts calls and answers with its revision, or fails.
type feed struct {
	revision uint64
	err      error
	lists    int
	waits    []time.Duration
}

func (f *feed) List(context.Context) (listing.Listing[string], error) {
	f.lists++
	return listing.Listing[string]{Position: position.New(0, f.revision)}, f.err
}

func (f *feed) Changes(_ context.Context, _ position.Position, wait time.Duration) (listing.Changes[string], error) {
	f.waits = append(f.waits, wait)
	return listing.Changes[string]{Position: position.New(0, f.revision)}, f.err
}

func TestCopyBeforeStore(t *testing.T) {
	failed := fault.New[kingcupstile.Kind]("watch", kingcupstile.KindUnavailable, nil)
	expired := fault.New[kingcupstile.Kind]("watch", kingcupstile.KindExpired, nil)
	for name, test := range map[string]struct {
		near      *feed
		wait      time.Duration
		revision  uint64
		kind      kingcupstile.Kind
		storeWait time.Duration
	}{
		"no copy":            {nil, 15 * time.Second, 9, "", 15 * time.Second},
		"copy":               {&feed{revision: 8}, 15 * time.Second, 8, "", 0},
		"copy is behind":     {&feed{revision: 3}, 15 * time.Second, 7, "", 0},
		"copy fails":         {&feed{err: failed}, 15 * time.Second, 9, "", 900 * time.Millisecond},
		"copy lost history":  {&feed{err: expired}, 15 * time.Second, 7, kingcupstile.KindExpired, 0},
		"behind for certain": {&feed{revision: 8}, 10 * time.Millisecond, 9, "", 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			store := &feed{revision: 9}
			f := sourcer.New[string](store, func() (kingcupstile.Feed[string], bool) { return test.near, test.near != nil })
			c, err := f.Changes(t.Context(), position.New(0, 7), test.wait)
			if c.Unconfirmed != (test.near != nil && test.storeWait == 0) {
				t.Errorf("unconfirmed %t", c.Unconfirmed)
			}
			if c.Position.Revision != test.revision || fault.KindOf[kingcupstile.Kind](err) != test.kind {
				t.Errorf("revision %d, %v", c.Position.Revision, err)
			}
			var storeWait time.Duration
			for _, w := range store.waits {
				storeWait += w
			}
			if storeWait != test.storeWait {
				t.Errorf("waited %v at the store, want %v", storeWait, test.storeWait)
			}
			if test.near != nil && len(test.near.waits) > 0 && test.near.waits[0] > 2*time.Second {
				t.Errorf("waits %v at the copy", test.near.waits[0])
			}
			if _, err := f.List(t.Context()); err != nil || store.lists == 1 != (test.near == nil || test.near.err != nil) {
				t.Errorf("%d listings of the store, %v", store.lists, err)
			}
		})
	}
}
