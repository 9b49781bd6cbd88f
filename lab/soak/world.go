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

// Kind classifies why a run could not be made.
type Kind string

// The kinds of failure.
const (
	// KindSetup says that a process or a stand-in did not start.
	KindSetup Kind = "setup"
	// KindBroken says that a promise was broken.
	KindBroken Kind = "broken"
)

// Error is a run that could not be made.
type Error = fault.Error[Kind]

const (
	// revoke is how soon a key that was taken away must not work: shorter than the users' five seconds, so that runs are short.
	revoke = 3 * time.Second
	// grace is the time that an entry has to stop.
	grace = 2 * time.Second
	// host is the only host of the routes.
	host = "h.example"
	// entries and runners are how many there are of each, runners for each service.
	entries, runners = 3, 3
	// events is how many events a stream has, and pause what lies between them.
	events = 12
	pause  = 30 * time.Millisecond
)

// place is a runner with what passes its connections on.
type place struct {
	id, service string
	runner      *site.Runner
	relay       *relay.Relay
	// replaced says that another one was started in its stead.
	replaced bool
}

// world is the platform around the entries.
type world struct {
	store   *site.Store
	address string
	closers []func()

	mu      sync.Mutex
	places  []*place
	made    int
	version int
	// account is the number of the account that holds a key now, and taken when each earlier one lost its.
	account int
	taken   map[string]time.Time
}

func newWorld() (*world, error) {
	w := &world{store: site.NewStore(), taken: map[string]time.Time{}}
	server := httptest.NewServer(w.store)
	w.address, w.closers = server.Listener.Addr().String(), append(w.closers, closer(server))
	w.configure()
	for _, service := range []string{"pool", "desk"} {
		for range runners {
			if err := w.add(service); err != nil {
				return w, err
			}
		}
	}
	return w, nil
}

// closer returns what ends a server with the connections on which it still answers.
func closer(server *httptest.Server) func() {
	return func() {
		server.CloseClientConnections()
		server.Close()
	}
}

func (w *world) close() {
	for _, p := range w.list() {
		p.relay.Close()
	}
	for _, end := range w.closers {
		end()
	}
}

// list returns all runners there have been.
func (w *world) list() []*place {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*place(nil), w.places...)
}

// add starts and registers a runner.
func (w *world) add(service string) error {
	w.mu.Lock()
	w.made++
	id := fmt.Sprintf("%s-%d", service, w.made)
	w.mu.Unlock()
	r := site.NewRunner(id)
	r.Events, r.Pause = events, pause
	server := httptest.NewServer(r)
	passes, err := relay.New(server.Listener.Addr().String())
	if err != nil {
		server.Close()
		return fault.New("start runner", KindSetup, err)
	}
	p := &place{id: id, service: service, runner: r, relay: passes}
	w.mu.Lock()
	w.places, w.closers = append(w.places, p), append(w.closers, closer(server))
	w.mu.Unlock()
	w.register(p, "ready")
	return nil
}

func (w *world) register(p *place, state string) {
	w.store.Put("servers", p.id, map[string]any{
		"service": p.service, "addr": p.relay.Address(), "zone": "z", "slots": 6, "state": state,
	})
}

// key returns the key of an account by its number.
func key(account int) string { return fmt.Sprint("key-", account) }

func name(account int) string { return fmt.Sprint("account-", account) }

// configure writes a new version in which the present account holds a key.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 2
	route := func(prefix, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": prefix, "host": host, "pathPrefix": prefix, "type": kind, "timeoutMs": 3000, "goalMs": 300, "priority": 1,
			"service": service, "attempts": 2, "resumable": resumable, "gapTargetMs": 150,
		}
	}
	engine := map[string]any{"slots": 6, "stride": 4, "step_ms": 5}
	w.store.Put("config", "main", map[string]any{
		"version": w.version,
		"routes": []any{
			route("/draft/", "streaming", "pool", true), route("/draft/once/", "streaming", "pool", false),
			route("/file/", "unsafe", "desk", false), route("/look/", "safe", "desk", false),
		},
		"services": []any{
			map[string]any{"name": "pool", "maxConns": 200, "engine": engine}, map[string]any{"name": "desk", "maxConns": 200},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": name(w.account), "apiKeys": []string{key(w.account)}}},
	})
}

// rotate gives another account the only key.
func (w *world) rotate() {
	w.mu.Lock()
	before := name(w.account)
	w.account++
	w.mu.Unlock()
	w.configure()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.taken[before] = time.Now()
}

// holder returns the number of the account that holds a key now.
func (w *world) holder() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.account
}

// free returns an address on a loopback IP that nobody listens on.
func free(ctx context.Context, ip string) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", fault.New("find port", KindSetup, err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
