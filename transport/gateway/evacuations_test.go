package gateway_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/platform"
	"github.com/kingcupstile/kingcupstile/state/evacuation"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/transport/gateway"
)

// evacuateWithin is the time in which entries must have stopped sending to a drained data centre.
const evacuateWithin = 5 * time.Second

// startAnother starts another entry of the same deployment with changed dependencies, which reads which data centres are drained.
func (d *deployment) startAnother(name string, change func(*gateway.Dependencies)) *deployment {
	d.t.Helper()
	return d.startBound(name, evacuateWithin, change)
}

// startBound does the same with another time in which the entry must have stopped sending, 0 for one that does not read what is drained.
func (d *deployment) startBound(name string, bound time.Duration, change func(*gateway.Dependencies)) *deployment {
	d.t.Helper()
	other := *d
	addresses := freeAddresses(d.t, 3)
	other.settings.Name, other.settings.InternalPorts = name, []int{freePort(d.t)}
	other.settings.Callers, other.settings.Ready, other.settings.Lookup = addresses[0], addresses[1], addresses[2]
	other.settings.EvacuationTime, other.ended = bound, make(chan error, 1)
	other.startWith(change)
	return &other
}

// awaitRefused waits until requests of all kinds are refused as all data centres are drained, and returns how long that took.
func (d *deployment) awaitRefused() time.Duration {
	d.t.Helper()
	start := time.Now()
	d.await("refused", func() bool { return d.call("POST", "/draft/x", "slip", nil).body == "data-centres-drained\n" })
	return time.Since(start)
}

// hangingFeed lists objects as they were at its start, and answers no watch.
type hangingFeed struct {
	kingcupstile.Feed[evacuation.Evacuation]
	once *sync.Once
}

func (f hangingFeed) List(ctx context.Context) (l listing.Listing[evacuation.Evacuation], err error) {
	isFirst := false
	f.once.Do(func() { isFirst = true })
	if isFirst {
		return f.Feed.List(ctx)
	}
	<-ctx.Done()
	return l, ctx.Err()
}

func (f hangingFeed) Changes(ctx context.Context, _ position.Position, _ time.Duration) (
	c listing.Changes[evacuation.Evacuation], err error,
) {
	<-ctx.Done()
	return c, ctx.Err()
}

// TestDrainStopsRequestsInTime drains the only data centre and returns it to service, before an entry that watches the store, one whose own
// watch hangs and learns of it from the other's heartbeats, and one that starts meanwhile. It guards against entries that go on sending
// after the bound, or never send again.
func TestDrainStopsRequestsInTime(t *testing.T) {
	d := newDeployment(t)
	first := d.startAnother("entry-2", func(*gateway.Dependencies) {})
	hanging := d.startAnother("entry-3", func(p *gateway.Dependencies) {
		p.Evacuations = hangingFeed{Feed: p.Evacuations, once: &sync.Once{}}
	})
	time.Sleep(time.Second)
	for _, e := range []*deployment{first, hanging} {
		if a := e.call("POST", "/draft/x", "slip", nil); a.status != http.StatusOK {
			t.Fatalf("%+v", a)
		}
	}
	d.store.Put("evacuations", "z", map[string]any{})
	for _, e := range []*deployment{first, hanging} {
		if took := e.awaitRefused(); took > evacuateWithin {
			t.Errorf("%s refuses after %v", e.settings.Name, took)
		}
		runs := e.runs("")
		for _, path := range []string{"/draft/x", "/look/x", "/file/x"} {
			start := time.Now()
			a := e.call("POST", path, "slip", nil)
			if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || time.Since(start) > 200*time.Millisecond {
				t.Errorf("%s %s: %+v after %v", e.settings.Name, path, a, time.Since(start))
			}
		}
		if e.runs("") != runs {
			t.Error("a request reached the drained data centre")
		}
	}
	late := d.startAnother("entry-4", func(*gateway.Dependencies) {})
	if a := late.call("POST", "/draft/x", "slip", nil); a.status != http.StatusServiceUnavailable {
		t.Errorf("an entry that starts during the drain: %+v", a)
	}
	d.store.Remove("evacuations", "z")
	for _, e := range []*deployment{first, hanging, late} {
		e.await("served", func() bool { return e.call("POST", "/draft/x", "slip", nil).status == http.StatusOK })
	}
	if a := d.call("POST", "/draft/x", "slip", nil); a.status != http.StatusOK {
		t.Errorf("an entry that does not read drains: %+v", a)
	}
}

// TestDrainOutlastsTheStore guards against entries that forget a drain while the store does not answer, and against one that waits for the
// store for ever.
func TestDrainOutlastsTheStore(t *testing.T) {
	d := newDeployment(t)
	e := d.startAnother("entry-2", func(*gateway.Dependencies) {})
	d.store.Put("evacuations", "z", map[string]any{})
	e.awaitRefused()
	runs := e.runs("")
	d.store.SetErrorStatus(http.StatusServiceUnavailable)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		e.call("POST", "/draft/x", "slip", nil)
	}
	if e.runs("") != runs {
		t.Error("a request reached the drained data centre while the store was down")
	}
	d.store.SetErrorStatus(0)
	d.store.Remove("evacuations", "z")
	e.await("served", func() bool { return e.call("POST", "/draft/x", "slip", nil).status == http.StatusOK })
	start := time.Now()
	d.startAnother("entry-3", func(p *gateway.Dependencies) {
		p.Evacuations = hangingFeed{Feed: p.Evacuations, once: doneOnce()}
	})
	if took := time.Since(start); took < 1900*time.Millisecond || took > 4*time.Second {
		t.Errorf("an entry whose listing is not answered is ready after %v, want 2 s", took)
	}
}

// doneOnce returns a Once that has been used.
func doneOnce() *sync.Once {
	var once sync.Once
	once.Do(func() {})
	return &once
}

// TestDrainsAreReadOnlyWhereAsked guards against calls to the store, which cost money, in deployments that did not ask for them.
func TestDrainsAreReadOnlyWhereAsked(t *testing.T) {
	for bound, want := range map[time.Duration]bool{0: false, evacuateWithin: true} {
		d := newDeployment(t)
		var mu sync.Mutex
		calls := 0
		counting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.URL.Path, "evacuations") {
				mu.Lock()
				calls++
				mu.Unlock()
			}
			d.store.ServeHTTP(w, r)
		}))
		t.Cleanup(counting.Close)
		d.startBound("entry-2", bound, func(p *gateway.Dependencies) {
			p.Evacuations = platform.Evacuations(platform.NewClient(counting.Listener.Addr().String()), slog.New(slog.DiscardHandler))
		})
		time.Sleep(500 * time.Millisecond)
		mu.Lock()
		if got := calls > 0; got != want {
			t.Errorf("with the bound %v: %d calls", bound, calls)
		}
		mu.Unlock()
	}
}
