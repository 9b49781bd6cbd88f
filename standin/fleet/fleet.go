package fleet

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile/protocol/parser"
	"github.com/kingcupstile/kingcupstile/standin/platform"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/roster"
	"github.com/kingcupstile/kingcupstile/transport/daemon"
)

// Kind classifies why a fleet could not run.
type Kind string

// The kinds of failure.
const (
	KindListen Kind = "listen"
	KindStart  Kind = "start"
	KindStop   Kind = "stop"
)

// Error is a fleet that could not run.
type Error = fault.Error[Kind]

const anyPort = "127.0.0.1:0"

// Fleet is a platform stand-in with daemons and back ends around it.
type Fleet struct {
	store    *platform.Store
	address  string
	log      *slog.Logger
	grace    time.Duration
	mu       sync.Mutex
	running  map[string]*member
	closers  []func()
	failures []error
}

// member is one running daemon.
type member struct {
	addresses daemon.Addresses
	stop      context.CancelFunc
	kill      context.CancelFunc
	ended     chan struct{}
	err       error
}

// Option sets a field of a Fleet under construction.
type Option func(*Fleet)

// Log sets the daemons' logger.
func Log(l *slog.Logger) Option { return func(f *Fleet) { f.log = l } }

// Store sets the platform stand-in's store.
func Store(s *platform.Store) Option { return func(f *Fleet) { f.store = s } }

// New returns a fleet whose platform stand-in serves.
func New(options ...Option) (*Fleet, error) {
	f := &Fleet{store: platform.New(), log: slog.New(slog.DiscardHandler), grace: 20 * time.Second, running: map[string]*member{}}
	for _, option := range options {
		option(f)
	}
	address, err := f.Serve(platform.Handler(f.store))
	f.address = address
	return f, err
}

// Platform returns the platform stand-in's IP address and port.
func (f *Fleet) Platform() string { return f.address }

// Store returns the platform stand-in's store.
func (f *Fleet) Store() *platform.Store { return f.store }

// Serve serves a stand-in on loopback until the fleet closes and returns its IP address and port.
func (f *Fleet) Serve(handler http.Handler) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", anyPort)
	if err != nil {
		return "", fault.New("serve stand-in", KindListen, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	f.closers = append(f.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// Entry starts an entry daemon, lists its VM and returns its addresses.
func (f *Fleet) Entry(name, centre string) (daemon.Addresses, error) {
	return f.start(parser.Settings{Role: "entry", Name: name, Centre: centre, Callers: anyPort})
}

// Endpoint starts an endpoint process beside the back end at an address, lists its VM and returns its addresses.
func (f *Fleet) Endpoint(name, centre, pool, engine string) (daemon.Addresses, error) {
	return f.start(parser.Settings{Role: "endpoint", Name: name, Centre: centre, Pool: pool, Engine: engine})
}

func (f *Fleet) start(s parser.Settings) (daemon.Addresses, error) {
	s.Platform, s.Peers, s.MetricsAddress, s.Grace = f.address, anyPort, anyPort, f.grace
	m := &member{ended: make(chan struct{})}
	stop, stopNow := context.WithCancel(context.Background())
	kill, killNow := context.WithCancel(context.Background())
	m.stop, m.kill = stopNow, killNow
	ready := make(chan daemon.Addresses, 1)
	d := daemon.New(s, daemon.Log(f.log), daemon.Linger(0), daemon.Ready(func(a daemon.Addresses) { ready <- a }))
	go func() {
		defer close(m.ended)
		m.err = d.Run(stop, kill)
	}()
	select {
	case m.addresses = <-ready:
	case <-m.ended:
		return daemon.Addresses{}, fault.New("start daemon", KindStart, m.err)
	}
	f.mu.Lock()
	f.running[s.Name] = m
	f.mu.Unlock()
	f.store.PutVM(roster.NewVM(s.Name, roster.Role(s.Role), roster.Centre(s.Centre), roster.Pool(s.Pool),
		roster.CallerAddress(m.addresses.Callers), roster.PeerAddress(m.addresses.Peers)))
	return m.addresses, nil
}

// Stop ends the named daemon as SIGTERM would and waits until it has ended.
func (f *Fleet) Stop(name string) error {
	m := f.take(name)
	if m == nil {
		return fault.Newf("stop daemon", KindStop, "%q does not run", name)
	}
	m.stop()
	<-m.ended
	m.kill()
	return m.err
}

// Kill ends the named daemon without letting requests in progress finish.
func (f *Fleet) Kill(name string) {
	if m := f.take(name); m != nil {
		m.kill()
		m.stop()
		<-m.ended
	}
}

func (f *Fleet) take(name string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.running[name]
	delete(f.running, name)
	return m
}

// Close stops every daemon and stand-in, and returns what the daemons failed with.
func (f *Fleet) Close() error {
	f.mu.Lock()
	names := make([]string, 0, len(f.running))
	for name := range f.running {
		names = append(names, name)
	}
	f.mu.Unlock()
	for _, name := range names {
		f.failures = append(f.failures, f.Stop(name))
	}
	for _, closer := range f.closers {
		closer()
	}
	return errors.Join(f.failures...)
}
