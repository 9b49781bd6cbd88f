package soak

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/relay"
	"github.com/kingcupstile/kingcupstile/standin/site"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why a run failed.
type Kind string

// The kinds of failure.
const (
	// KindSetup says that a process or a stand-in did not start.
	KindSetup Kind = "setup"
	// KindBroken says that a run violated a guarantee.
	KindBroken Kind = "broken"
)

// Error is the failure of a run.
type Error = fault.Error[Kind]

const (
	// revocationLimit is the time after which a revoked key must no longer work. It is shorter than the users' five
	// seconds to keep runs short.
	revocationLimit = 3 * time.Second
	// gracePeriod is the time that an entry has to stop.
	gracePeriod = 2 * time.Second
	// host is the Host header that all routes match.
	host                          = "h.example"
	entryCount, runnersPerService = 3, 3
	// A stream has streamEvents events, eventInterval apart.
	streamEvents  = 12
	eventInterval = 30 * time.Millisecond
)

// proxiedRunner is a runner behind a relay, which injects the faults of its connections.
type proxiedRunner struct {
	id, service string
	runner      *site.Runner
	relay       *relay.Relay
	// replaced is true once another runner was started in its place.
	replaced bool
}

// testbed holds the stand-ins around the entries: the store and the runners.
type testbed struct {
	store        *site.Store
	storeAddress string
	closers      []func()

	mu      sync.Mutex
	runners []*proxiedRunner
	created int
	version int
	// account is the number of the account that holds the valid key; revokedAt maps the name of each earlier account to
	// the time at which its key was revoked.
	account   int
	revokedAt map[string]time.Time

	// writing is held while operators and runners write, and writes holds their last write of each object.
	writing sync.Mutex
	writes  map[string]func()
}

// write writes an object as operators and runners do, so that it can be written again.
func (t *testbed) write(kind, name string, do func()) {
	t.writing.Lock()
	defer t.writing.Unlock()
	t.writes[kind+"/"+name] = do
	do()
}

// rewrite writes all objects again. Keys that were revoked since a time count as revoked only now, as entries may not have read that
// before it was lost.
func (t *testbed) rewrite(since time.Time) {
	t.writing.Lock()
	defer t.writing.Unlock()
	for _, do := range t.writes {
		do()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for account, at := range t.revokedAt {
		if at.After(since) {
			t.revokedAt[account] = time.Now()
		}
	}
}

func newTestbed() (*testbed, error) {
	t := &testbed{store: site.NewStore(), revokedAt: map[string]time.Time{}, writes: map[string]func(){}}
	server := httptest.NewServer(t.store)
	t.storeAddress, t.closers = server.Listener.Addr().String(), append(t.closers, closeFunc(server))
	t.configure()
	for _, service := range []string{"pool", "desk"} {
		for range runnersPerService {
			if err := t.addRunner(service); err != nil {
				return t, err
			}
		}
	}
	return t, nil
}

// closeFunc returns a function that closes a server at once, with the connections on which it still answers.
func closeFunc(server *httptest.Server) func() {
	return func() {
		server.CloseClientConnections()
		server.Close()
	}
}

func (t *testbed) close() {
	for _, p := range t.allRunners() {
		p.relay.Close()
	}
	for _, closeServer := range t.closers {
		closeServer()
	}
}

// allRunners returns every runner started so far, those removed included.
func (t *testbed) allRunners() []*proxiedRunner {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]*proxiedRunner(nil), t.runners...)
}

// addRunner starts a runner of a service and registers it as ready.
func (t *testbed) addRunner(service string) error {
	t.mu.Lock()
	t.created++
	id := fmt.Sprintf("%s-%d", service, t.created)
	t.mu.Unlock()
	r := site.NewRunner(id)
	r.Events, r.EventInterval = streamEvents, eventInterval
	server := httptest.NewServer(r)
	proxy, err := relay.New(server.Listener.Addr().String())
	if err != nil {
		server.Close()
		return fault.New("start runner", KindSetup, err)
	}
	p := &proxiedRunner{id: id, service: service, runner: r, relay: proxy}
	t.mu.Lock()
	t.runners, t.closers = append(t.runners, p), append(t.closers, closeFunc(server))
	t.mu.Unlock()
	t.register(p, "ready")
	return nil
}

func (t *testbed) register(p *proxiedRunner, state string) {
	t.write("servers", p.id, func() {
		t.store.Put("servers", p.id, map[string]any{
			"service": p.service, "addr": p.relay.Address(), "zone": "z", "slots": 6, "state": state,
		})
	})
}

// deregister removes a runner's registration.
func (t *testbed) deregister(p *proxiedRunner) {
	t.write("servers", p.id, func() { t.store.Remove("servers", p.id) })
}

// apiKey returns the API key of the account with the given number.
func apiKey(account int) string { return fmt.Sprint("key-", account) }

func accountName(account int) string { return fmt.Sprint("account-", account) }

// configure stores a new version of the configuration in which only the current account has a key.
func (t *testbed) configure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version += 2
	route := func(prefix, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": prefix, "host": host, "pathPrefix": prefix, "type": kind, "timeoutMs": 3000, "goalMs": 300, "priority": 1,
			"service": service, "attempts": 2, "resumable": resumable, "gapTargetMs": 150,
		}
	}
	engine := map[string]any{"slots": 6, "stride": 4, "step_ms": 5}
	spec := map[string]any{
		"version": t.version,
		"routes": []any{
			route("/draft/", "streaming", "pool", true), route("/draft/once/", "streaming", "pool", false),
			route("/file/", "unsafe", "desk", false), route("/look/", "safe", "desk", false),
		},
		"services": []any{
			map[string]any{"name": "pool", "maxConns": 200, "engine": engine}, map[string]any{"name": "desk", "maxConns": 200},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": accountName(t.account), "apiKeys": []string{apiKey(t.account)}}},
	}
	t.write("config", "main", func() { t.store.Put("config", "main", spec) })
}

// rotateKey revokes the current key and gives the next account a new one.
func (t *testbed) rotateKey() {
	t.mu.Lock()
	before := accountName(t.account)
	t.account++
	t.mu.Unlock()
	t.configure()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revokedAt[before] = time.Now()
}

// activeAccount returns the number of the account that holds the valid key.
func (t *testbed) activeAccount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.account
}

// freeAddresses returns TCP addresses on a loopback IP with different ports that were free when they were probed: each is held until all
// are found.
func freeAddresses(ctx context.Context, ip string, n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fault.New("find port", KindSetup, err)
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
