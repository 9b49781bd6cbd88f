package gateway_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// kindEntries is the kind of the entries' registrations.
	kindEntries = "kingcup-entries"
	// returnTime is how soon after the store's return all that the system wrote must be in it again.
	returnTime = 5 * time.Second
	// applyTime is how soon a new version of the configuration must be in force.
	applyTime = 3 * time.Second
)

// join starts another entry of a deployment and waits until it is ready.
func (d *deployment) join(name string) *deployment {
	d.t.Helper()
	other := d.beside(name)
	other.start()
	return other
}

// beside returns another entry of a deployment, which is yet to be started.
func (d *deployment) beside(name string) *deployment {
	d.t.Helper()
	other := *d
	addresses := freeAddresses(d.t, 3)
	other.settings.Name, other.settings.InternalPorts = name, []int{freePort(d.t)}
	other.settings.Callers, other.settings.Ready, other.settings.Lookup = addresses[0], addresses[1], addresses[2]
	return &other
}

// names returns the addresses that an entry's lookup names.
func (d *deployment) names() string {
	r, err := http.Get("http://" + d.settings.Lookup + "/kingcupstile/lookup?zone=z&region=r")
	if err != nil {
		return ""
	}
	defer func() { _ = r.Body.Close() }()
	text, _ := io.ReadAll(r.Body)
	return string(text)
}

// fleet returns three entries of one deployment that know of each other.
func fleet(t *testing.T) []*deployment {
	t.Helper()
	first := newDeployment(t)
	entries := []*deployment{first, first.join("entry-2"), first.join("entry-3")}
	first.await("names of all in all lookups", func() bool { return allNamed(entries) })
	return entries
}

func allNamed(entries []*deployment) bool {
	for _, viewer := range entries {
		names := viewer.names()
		for _, e := range entries {
			if !strings.Contains(names, e.settings.Callers) {
				return false
			}
		}
	}
	return true
}

// passBy writes so much that the new history of a restored store is longer than the one before.
func (d *deployment) passBy() {
	for i := range 40 {
		d.store.Put("other", strconv.Itoa(i), i)
	}
}

// TestEntriesRegisterAgain guards against entries that are left out for good after their registrations were lost in a restore of the
// store, or were taken out by others: each was written once only.
func TestEntriesRegisterAgain(t *testing.T) {
	for name, lose := range map[string]func(d *deployment){
		"lost in a restore": func(d *deployment) {
			empty := d.store.Copy()
			for _, e := range d.store.Names(kindEntries) {
				d.store.Remove(kindEntries, e)
			}
			before := d.store.Copy()
			d.store.Restore(empty)
			d.store.Restore(before)
		},
		"lost in a restore that new history has passed": func(d *deployment) {
			held := d.store.Copy()
			for _, e := range d.store.Names(kindEntries) {
				d.store.Remove(kindEntries, e)
			}
			without := d.store.Copy()
			d.store.Restore(held)
			d.store.Restore(without)
			d.passBy()
		},
		"taken out by others": func(d *deployment) {
			for _, e := range d.store.Names(kindEntries) {
				d.store.Remove(kindEntries, e)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			entries := fleet(t)
			lose(entries[0])
			deadline := time.Now().Add(returnTime)
			for len(entries[0].store.Names(kindEntries)) < len(entries) || !allNamed(entries) {
				if time.Now().After(deadline) {
					t.Fatalf("after %v the store holds %v", returnTime, entries[0].store.Names(kindEntries))
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// TestHistoryThatHasPassedIsRead guards against a store that was restored and whose new history has passed the revision that an entry
// saw last: nothing but the era tells that what was written below that revision is another history.
func TestHistoryThatHasPassedIsRead(t *testing.T) {
	entries := fleet(t)
	d := entries[0]
	held := d.store.Copy()
	for i := range 5 {
		d.store.Put("other", strconv.Itoa(i), i)
	}
	d.configure("key-2")
	lost := d.version
	// The entries have read that, and pause before they watch again.
	for _, e := range entries {
		d.await("new key known", func() bool { return e.callWith("key-2") == http.StatusOK })
	}
	d.store.Restore(held)
	d.version = lost
	d.configure("key-3")
	d.passBy()
	deadline := time.Now().Add(applyTime)
	for _, e := range entries {
		for e.callWith("key-3") != http.StatusOK || e.callWith("key-2") != http.StatusUnauthorized {
			if time.Now().After(deadline) {
				t.Fatalf("%s: removed key %d, new key %d after %v", e.settings.Name, e.callWith("key-2"), e.callWith("key-3"), applyTime)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// callWith returns the status of a request with a key.
func (d *deployment) callWith(k string) int {
	return d.call(http.MethodGet, "/look/x", "", map[string]string{"Authorization": "Token " + k}).status
}

// TestRemovedKeyStaysAway guards against the older configuration of a restored store that takes force, at an entry that runs and at one
// that starts on it, until the operator has written the newer one again.
func TestRemovedKeyStaysAway(t *testing.T) {
	d := newDeployment(t)
	held := d.store.Copy()
	d.configure("key-2")
	d.await("new key known", func() bool { return d.callWith("key-2") == http.StatusOK && d.callWith(key) == http.StatusUnauthorized })
	lost, _ := d.store.Spec("config", "main")
	d.store.Restore(held)
	other := d.beside("entry-2")
	other.launch()
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := d.callWith(key); got != http.StatusUnauthorized {
			t.Fatalf("removed key at the running entry: %d", got)
		}
		if got := d.callWith("key-2"); got != http.StatusOK {
			t.Fatalf("new key at the running entry: %d", got)
		}
		if got := other.callWith(key); got == http.StatusOK {
			t.Fatalf("removed key at an entry that started on the copy: %d", got)
		}
	}
	d.store.PutRaw("config", "main", lost)
	deadline := time.Now().Add(applyTime)
	for other.callWith("key-2") != http.StatusOK {
		if time.Now().After(deadline) {
			t.Fatalf("new key at the entry that started: %d", other.callWith("key-2"))
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := other.callWith(key); got != http.StatusUnauthorized {
		t.Errorf("removed key at the entry that started: %d", got)
	}
}

// TestRunnersOfTheCopy guards against runners that get requests as a restored store's copy says that they are ready although they drain
// or are gone, and against one that is out of use as it registered in the lost seconds.
func TestRunnersOfTheCopy(t *testing.T) {
	d := newDeployment(t)
	held := d.store.Copy()
	d.add("desk-c", "desk")
	d.register("desk-a", "desk", d.addresses["desk-a"], "draining")
	d.store.Remove("servers", "desk-b")
	d.await("use of the new runner only", func() bool {
		before := len(d.runners["desk-c"].Runs())
		for range 20 {
			d.call(http.MethodGet, "/look/x", "", nil)
		}
		return len(d.runners["desk-c"].Runs()) == before+20
	})
	before := map[string]int{}
	for id, r := range d.runners {
		before[id] = len(r.Runs())
	}
	d.store.Restore(held)
	sent := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); sent++ {
		if got := d.callWith(key); got != http.StatusOK {
			t.Fatalf("request %d: %d", sent, got)
		}
	}
	for id, want := range map[string]int{"desk-a": 0, "desk-b": 0, "desk-c": sent} {
		if got := len(d.runners[id].Runs()) - before[id]; got != want {
			t.Errorf("%s ran %d of %d requests, want %d", id, got, sent, want)
		}
	}
	d.register("desk-a", "desk", d.addresses["desk-a"], "ready")
	d.await("use of a runner that registered again", func() bool {
		d.callWith(key)
		return len(d.runners["desk-a"].Runs()) > before["desk-a"]
	})
}

// TestRequestsInADrill sends requests while the store goes away and comes back from a copy, twice within 5 s: none is refused, cut or run
// twice.
func TestRequestsInADrill(t *testing.T) {
	entries := fleet(t)
	d := entries[0]
	var group sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	failed := map[string]int{}
	sent := 0
	before := d.runs("desk")
	for _, e := range entries {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				a := e.call(http.MethodPost, "/file/x", "slip", nil)
				mu.Lock()
				sent++
				if a.status != http.StatusOK || a.err != nil {
					failed[fmt.Sprint(a.status, " ", a.err)]++
				}
				mu.Unlock()
			}
		})
	}
	for range 2 {
		held := d.store.Copy()
		d.passBy()
		time.Sleep(700 * time.Millisecond)
		d.store.SetErrorStatus(http.StatusServiceUnavailable)
		time.Sleep(800 * time.Millisecond)
		d.store.Restore(held)
		d.store.SetErrorStatus(0)
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	if len(failed) > 0 || d.runs("desk")-before != sent {
		t.Errorf("%d sent, %d ran, failed: %v", sent, d.runs("desk")-before, slices.Collect(maps.Keys(failed)))
	}
}
