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

// Kind classifies the failures of a fleet.
type Kind string

// The kinds of failure: a stand-in cannot listen, a daemon ends before it is ready, a daemon to stop is not running.
const (
	KindListen Kind = "listen"
	KindStart  Kind = "start"
	KindStop   Kind = "stop"
)

// Error is a failure to run a fleet or one of its daemons.
type Error = fault.Error[Kind]

// anyPort is a loopback address on which the system chooses a free port.
const anyPort = "127.0.0.1:0"

// Fleet is a platform stand-in with the daemons and other stand-ins that it started. Only the map of daemons is guarded
// for concurrent use.
type Fleet struct {
	store           *platform.Store
	platformAddress string
	log             *slog.Logger
	grace           time.Duration
	mu              sync.Mutex
	daemons         map[string]*instance
	closers         []func()
	failures        []error
}

// instance is one running daemon; err is valid once done is closed.
type instance struct {
	addresses daemon.Addresses
	stop      context.CancelFunc
	kill      context.CancelFunc
	done      chan struct{}
	err       error
}

// Option sets a field of a Fleet under construction.
type Option func(*Fleet)

// Log sets the logger of the daemons; the default discards their log.
func Log(l *slog.Logger) Option { return func(f *Fleet) { f.log = l } }

// Store sets the store that the platform stand-in serves; the default is empty.
func Store(s *platform.Store) Option { return func(f *Fleet) { f.store = s } }

// New returns a fleet without daemons whose platform stand-in is listening, or an Error of KindListen.
func New(options ...Option) (*Fleet, error) {
	f := &Fleet{store: platform.New(), log: slog.New(slog.DiscardHandler), grace: 20 * time.Second, daemons: map[string]*instance{}}
	for _, option := range options {
		option(f)
	}
	address, err := f.Serve(platform.Handler(f.store))
	f.platformAddress = address
	return f, err
}

// PlatformAddress returns the platform stand-in's IP address and port.
func (f *Fleet) PlatformAddress() string { return f.platformAddress }

// Store returns the platform stand-in's store.
func (f *Fleet) Store() *platform.Store { return f.store }

// Serve serves a handler on loopback until the fleet is closed, and returns its IP address and port or an Error of
// KindListen.
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

// StartEntry starts an entry daemon, waits until it is ready, adds its VM to the VM list and returns its addresses, or
// an Error of KindStart.
func (f *Fleet) StartEntry(name, centre string) (daemon.Addresses, error) {
	return f.start(parser.Settings{Role: "entry", Name: name, Centre: centre, Callers: anyPort})
}

// StartEndpoint starts an endpoint daemon for the runner at the address engine, waits until it is ready, adds its VM to
// the VM list and returns its addresses, or an Error of KindStart.
func (f *Fleet) StartEndpoint(name, centre, pool, engine string) (daemon.Addresses, error) {
	return f.start(parser.Settings{Role: "endpoint", Name: name, Centre: centre, Pool: pool, Engine: engine})
}

func (f *Fleet) start(s parser.Settings) (daemon.Addresses, error) {
	s.Platform, s.Peers, s.MetricsAddress, s.Grace = f.platformAddress, anyPort, anyPort, f.grace
	m := &instance{done: make(chan struct{})}
	stop, stopNow := context.WithCancel(context.Background())
	kill, killNow := context.WithCancel(context.Background())
	m.stop, m.kill = stopNow, killNow
	ready := make(chan daemon.Addresses, 1)
	d := daemon.New(s, daemon.Log(f.log), daemon.Linger(0), daemon.Ready(func(a daemon.Addresses) { ready <- a }))
	go func() {
		defer close(m.done)
		m.err = d.Run(stop, kill)
	}()
	select {
	case m.addresses = <-ready:
	case <-m.done:
		return daemon.Addresses{}, fault.New("start daemon", KindStart, m.err)
	}
	f.mu.Lock()
	f.daemons[s.Name] = m
	f.mu.Unlock()
	f.store.PutVM(roster.NewVM(s.Name, roster.Role(s.Role), roster.Centre(s.Centre), roster.Pool(s.Pool),
		roster.CallerAddress(m.addresses.Callers), roster.PeerAddress(m.addresses.Peers)))
	return m.addresses, nil
}

// Stop drains the named daemon as SIGTERM does, waits until it has ended and returns the error of its Run, or an Error
// of KindStop if it is not running. The VM stays in the VM list.
func (f *Fleet) Stop(name string) error {
	m := f.remove(name)
	if m == nil {
		return fault.Newf("stop daemon", KindStop, "%q is not running", name)
	}
	m.stop()
	<-m.done
	m.kill()
	return m.err
}

// Kill ends the named daemon at once, which cuts the requests in flight, and waits until it has ended.
func (f *Fleet) Kill(name string) {
	if m := f.remove(name); m != nil {
		m.kill()
		m.stop()
		<-m.done
	}
}

// remove removes the named daemon from the map and returns it, or nil if it is not running.
func (f *Fleet) remove(name string) *instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.daemons[name]
	delete(f.daemons, name)
	return m
}

// Close drains every daemon in turn, then closes the stand-ins, and returns the daemons' errors joined.
func (f *Fleet) Close() error {
	f.mu.Lock()
	names := make([]string, 0, len(f.daemons))
	for name := range f.daemons {
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
