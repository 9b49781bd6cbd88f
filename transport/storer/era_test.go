package storer_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/platform"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/state/roster"
	"github.com/kingcupstile/kingcupstile/transport/storer"
)

const watchWait = 200 * time.Millisecond

// arrange returns a store that holds an object at version 3, of which a copy has version 1, and a client of it.
func arrange(t *testing.T) (*platform.Store, platform.Copy, *storer.Storer) {
	t.Helper()
	store := platform.New()
	server := httptest.NewServer(platform.Handler(store))
	t.Cleanup(server.Close)
	s := storer.New(server.Listener.Addr().String(), storer.WatchWait(watchWait))
	put(t, s, 0, "first")
	store.PutVM(roster.NewVM("one", roster.RoleEntry))
	held := store.Copy()
	put(t, s, 1, "second")
	put(t, s, 2, "third")
	return store, held, s
}

func put(t *testing.T, s *storer.Storer, version uint64, text string) object.Object {
	t.Helper()
	o, err := s.Put(t.Context(), object.New(object.KindConfig, "one", object.Version(version), object.Value([]byte(text))))
	if err != nil {
		t.Fatal(err)
	}
	return o
}

func kindOf(err error) kingcupstile.Kind { return fault.KindOf[kingcupstile.Kind](err) }

// TestVersionsOfARestoredStore guards against a watch that goes on after a version of before a restore, and misses all that was written
// below it since.
func TestVersionsOfARestoredStore(t *testing.T) {
	store, held, s := arrange(t)
	known, err := s.Get(t.Context(), object.KindConfig, "one")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := s.Watch(t.Context(), object.KindConfig, "one", known.Version())
		ended <- err
	}()
	time.Sleep(watchWait / 4)
	store.Restore(held)
	if err := <-ended; kindOf(err) != kingcupstile.KindUnavailable {
		t.Errorf("the watch in progress: %v", err)
	}
	restored, err := s.Watch(t.Context(), object.KindConfig, "one", known.Version())
	if err != nil || string(restored.Value()) != "first" || restored.Version() <= known.Version() {
		t.Errorf("after the restore: %q at %d, before %d: %v", restored.Value(), restored.Version(), known.Version(), err)
	}
	if _, err := s.Watch(t.Context(), object.KindConfig, "one", restored.Version()); kindOf(err) != kingcupstile.KindMissing {
		t.Errorf("without a change: %v", err)
	}
	put(t, s, restored.Version(), "other second")
	changed, err := s.Watch(t.Context(), object.KindConfig, "one", restored.Version())
	if err != nil || string(changed.Value()) != "other second" {
		t.Errorf("%q, %v", changed.Value(), err)
	}
}

// TestWriteByAVersionGivenOutTwice guards against a write by a version that the store has given out in another history.
func TestWriteByAVersionGivenOutTwice(t *testing.T) {
	for name, tells := range map[string]bool{"known to be restored": true, "not known yet": false} {
		t.Run(name, func(t *testing.T) {
			store, held, s := arrange(t)
			known, err := s.Get(t.Context(), object.KindConfig, "one")
			if err != nil {
				t.Fatal(err)
			}
			store.Restore(held)
			other := storer.New(address(t, store))
			restored, err := other.Get(t.Context(), object.KindConfig, "one")
			if err != nil {
				t.Fatal(err)
			}
			for range 2 {
				restored = put(t, other, restored.Version(), "other")
			}
			want := kingcupstile.KindUncertain
			if tells {
				want = kingcupstile.KindConflict
				if _, err := s.Get(t.Context(), object.KindConfig, "one"); err != nil {
					t.Fatal(err)
				}
			}
			if o, err := s.Put(t.Context(), known.WithValue([]byte("of before"))); kindOf(err) != want {
				t.Errorf("written at %d, %v", o.Version(), err)
			}
			if o, err := other.Get(t.Context(), object.KindConfig, "one"); tells && (err != nil || string(o.Value()) != "other") {
				t.Errorf("the store holds %q, %v", o.Value(), err)
			}
		})
	}
}

// address serves a store once more, and returns where.
func address(t *testing.T, store *platform.Store) string {
	t.Helper()
	server := httptest.NewServer(platform.Handler(store))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestListOfARestoredStore does the same with the list of VMs.
func TestListOfARestoredStore(t *testing.T) {
	store, held, s := arrange(t)
	store.PutVM(roster.NewVM("two", roster.RoleEntry))
	store.PutVM(roster.NewVM("three", roster.RoleEntry))
	known, err := s.VMs(t.Context(), 0)
	if err != nil || len(known.VMs()) != 3 {
		t.Fatalf("%d VMs, %v", len(known.VMs()), err)
	}
	store.Restore(held)
	if _, err := s.Get(t.Context(), object.KindConfig, "one"); err != nil {
		t.Fatal(err)
	}
	restored, err := s.VMs(t.Context(), known.Version())
	if err != nil || len(restored.VMs()) != 1 || restored.Version() <= known.Version() {
		t.Errorf("%d VMs at %d, before %d: %v", len(restored.VMs()), restored.Version(), known.Version(), err)
	}
}
