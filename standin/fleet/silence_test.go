package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/standin/caller"
	"github.com/kingcupstile/kingcupstile/standin/engine"
	"github.com/kingcupstile/kingcupstile/standin/fleet"
	"github.com/kingcupstile/kingcupstile/standin/relay"
	"github.com/kingcupstile/kingcupstile/standin/shop"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/roster"
	"github.com/kingcupstile/kingcupstile/transport/dialer"
)

const (
	key         = "amagambo-key"
	centre      = "kgl-a"
	tolerance   = time.Second
	concurrency = 12
	lines       = 60
	testTimeout = 20 * time.Second
)

// testbed is a fleet with one entry and two pools of one endpoint each; the entry reaches an endpoint through a relay
// that can silence connections: they stay open and deliver nothing.
type testbed struct {
	fleet  *fleet.Fleet
	shop   *shop.Shop
	entry  string
	relays map[string]*relay.Relay
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	f, err := fleet.New()
	check(t, err)
	t.Cleanup(func() { check(t, f.Close()) })
	d := &testbed{fleet: f, shop: shop.New(), relays: map[string]*relay.Relay{}}
	entry, err := f.StartEntry("entry-1", centre)
	check(t, err)
	d.entry = "http://" + entry.Callers
	handlers := map[string]http.Handler{"draft": engine.New(engine.NewGroup(2)).Handler(), "desk": d.shop.Handler()}
	services := make([]catalog.Service, 0, len(handlers))
	for pool, handler := range handlers {
		d.startEndpoint(t, pool, handler)
		services = append(services, catalog.NewService(pool,
			catalog.ServedBy(catalog.ModePlain, pool), catalog.Timeout(time.Minute), catalog.Grants(catalog.NewGrant("amagambo", 0, 0))))
	}
	account := catalog.NewAccount("amagambo", "test", caller.Hash(key))
	_, err = publisher.New(f.Store(), translator.CatalogCodec{}).Publish(t.Context(),
		publisher.Change{Author: "test", Services: services, Accounts: []catalog.Account{account}})
	check(t, err)
	for pool := range handlers {
		d.awaitEndpoint(t, pool)
	}
	return d
}

func (d *testbed) startEndpoint(t *testing.T, pool string, handler http.Handler) {
	t.Helper()
	address, err := d.fleet.Serve(handler)
	check(t, err)
	addresses, err := d.fleet.StartEndpoint(pool+"-1", centre, pool, address)
	check(t, err)
	r, err := relay.New(addresses.Peers)
	check(t, err)
	t.Cleanup(r.Close)
	d.relays[pool] = r
	d.fleet.Store().PutVM(roster.NewVM(pool+"-1", roster.RoleEndpoint, roster.Centre(centre), roster.Pool(pool),
		roster.PeerAddress(r.Address())))
}

// awaitEndpoint waits until the entry issues a ticket for the pool and has connected to its endpoint through the relay.
func (d *testbed) awaitEndpoint(t *testing.T, pool string) {
	t.Helper()
	for until := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) {
		_, err := caller.New(key).Ticket(t.Context(), d.entry[len("http://"):], pool)
		if err == nil && d.relays[pool].Accepted() > 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatal(err)
		}
	}
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestStreamsOutliveSilence silences the connections of all streams twice. Each stream must pause for it, go on
// when the silence limit of the dialer has passed, and deliver every line once and in order.
func TestStreamsOutliveSilence(t *testing.T) {
	d := newTestbed(t)
	pauses := make([]time.Duration, concurrency)
	var group sync.WaitGroup
	for i := range concurrency {
		group.Go(func() { pauses[i] = d.streamDraft(t, fmt.Sprintf("slip-%d", i)) })
	}
	for range 2 {
		time.Sleep(400 * time.Millisecond)
		if d.relays["draft"].Blackhole() < concurrency {
			t.Error("fewer connections than streams were open")
		}
		time.Sleep(dialer.DefaultReceiveTimeout + tolerance/2)
	}
	group.Wait()
	for _, pause := range pauses {
		if pause < dialer.DefaultReceiveTimeout/2 || pause > dialer.DefaultReceiveTimeout+tolerance {
			t.Errorf("the longest pause of a stream was %s", pause)
		}
	}
	t.Logf("longest pause of each stream: %v", pauses)
}

// streamDraft streams a draft, checks that each line arrives once and in order, and returns the longest pause between
// events.
func (d *testbed) streamDraft(t *testing.T, slip string) time.Duration {
	t.Helper()
	body, _ := json.Marshal(engine.Draft{Slip: slip, Lines: lines * 5})
	seen, last, longest := 0, time.Now(), time.Duration(0)
	err := caller.New(key).Stream(t.Context(), d.entry+"/draft/v1/drafts", nil, body, func(e caller.Event) bool {
		longest, last = max(longest, time.Since(last)), time.Now()
		var line engine.Line
		if e.Data != engine.End && (json.Unmarshal([]byte(e.Data), &line) != nil || line.Slip != slip || line.Line != seen+1) {
			t.Errorf("%s: received %q after line %d", slip, e.Data, seen)
		}
		seen++
		return true
	})
	if err != nil || seen != lines*5+1 {
		t.Errorf("%s: received %d events, error %v", slip, seen, err)
	}
	return longest
}

// TestIdleConnectionsAreProved places orders without an idempotency key when every pooled connection has been silenced.
// No order may run twice or contradict its outcome; one with a key must also get its outcome soon after the dialer's
// silence limit.
func TestIdleConnectionsAreProved(t *testing.T) {
	d := newTestbed(t)
	for round := range 2 {
		var group sync.WaitGroup
		for i := range concurrency {
			group.Go(func() { d.placeOrder(t, fmt.Sprintf("order-%d-%d", round, i), nil) })
		}
		group.Wait()
		if d.relays["desk"].Blackhole() == 0 {
			t.Error("no connection was pooled")
		}
	}
	begun := time.Now()
	d.placeOrder(t, "keyed", http.Header{"Idempotency-Key": {"keyed"}})
	if took := time.Since(begun); took > dialer.DefaultReceiveTimeout+tolerance {
		t.Errorf("the order with an idempotency key took %s", took)
	} else {
		t.Logf("the order with an idempotency key took %s", took)
	}
}

// placeOrder repeats an order until its outcome is other than not-run, and checks the number of runs against each
// outcome.
func (d *testbed) placeOrder(t *testing.T, reference string, header http.Header) {
	t.Helper()
	body, _ := json.Marshal(shop.Order{Reference: reference, Sheet: "pantry-shelf"})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, outcome, err := caller.New(key).Call(ctx, http.MethodPost, d.entry+"/desk/orders", header, body)
		runs := d.shop.Runs(reference)
		if runs > 1 || (outcome == "not-run" && runs > 0) || (outcome == "ran" && runs != 1) {
			t.Errorf("%s: ran %d times, outcome %q, error %v", reference, runs, outcome, err)
		}
		if outcome != "not-run" {
			return
		}
	}
	t.Errorf("%s: no outcome but not-run within the time limit", reference)
}
