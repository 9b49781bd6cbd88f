package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/standin/caller"
	"github.com/kingcupstile/kingcupstile/standin/platform"
	"github.com/kingcupstile/kingcupstile/standin/relay"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

const (
	key     = "capacity-key"
	account = "capacity"
	service = "drafts"
)

// world is a platform stand-in, in this process, with daemons around it.
type world struct {
	binary  binary
	store   *platform.Store
	address string
	bytes   atomic.Int64
	relays  []*relay.Relay
	running []*process
	closers []func()
}

func newWorld(ctx context.Context, b binary) (*world, error) {
	w := &world{binary: b, store: platform.New()}
	address, err := w.serve(ctx, platform.Handler(w.store))
	w.address = address
	return w, err
}

// serve serves a stand-in on loopback; the bytes that it reads and writes are counted.
func (w *world) serve(ctx context.Context, handler http.Handler) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fault.New("serve stand-in", KindSetup, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startLimit}
	go func() { _ = server.Serve(countingListener{l, &w.bytes}) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// close ends the daemons, all at once, and the stand-ins.
func (w *world) close() {
	for range 2 {
		for _, p := range w.running {
			p.signal()
		}
		time.Sleep(signalGap)
	}
	for _, p := range w.running {
		_ = p.command.Wait()
	}
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

// daemon starts a daemon, lists its VM and ends it when the world closes.
func (w *world) daemon(ctx context.Context, settings map[string]string) (*process, error) {
	settings["platform"] = w.address
	role, name, pool := settings["role"], settings["name"], settings["pool"]
	p, err := w.binary.start(ctx, settings)
	if err != nil {
		return nil, err
	}
	w.running = append(w.running, p)
	peers, err := relay.New(p.peers)
	if err != nil {
		return nil, fault.New("start daemon", KindSetup, err)
	}
	w.relays = append(w.relays, peers)
	w.closers = append(w.closers, peers.Close)
	w.store.PutVM(roster.NewVM(name, roster.Role(role), roster.Centre("kgl-a"), roster.Pool(pool),
		roster.CallerAddress(p.callers), roster.PeerAddress(peers.Address())))
	return p, nil
}

// publish puts one service and some accounts in force, the first of which holds the key.
func (w *world) publish(ctx context.Context, accounts int) error {
	change := publisher.Change{Author: "lab", Services: []catalog.Service{catalog.NewService(service,
		catalog.ServedBy(catalog.ModeModel, service),
		catalog.Timeout(time.Minute),
		catalog.Repeatable("POST /v1/drafts"),
		catalog.Grants(catalog.NewGrant(account, 0, 0)),
	)}}
	change.Accounts = append(change.Accounts, catalog.NewAccount(account, "lab", caller.Hash(key)))
	for i := 1; i < accounts; i++ {
		name := numbered("account", i)
		change.Accounts = append(change.Accounts, catalog.NewAccount(name, "lab", caller.Hash(name)))
	}
	p := w.publisher()
	current, err := p.Read(ctx)
	if err != nil {
		return err
	}
	change.Base = current.Version()
	_, err = p.Publish(ctx, change)
	return err
}

// publishServices puts more services in force, each for the one account.
func (w *world) publishServices(ctx context.Context, n int) error {
	current, err := w.publisher().Read(ctx)
	if err != nil {
		return err
	}
	change := publisher.Change{Author: "lab", Base: current.Version()}
	for i := range n {
		change.Services = append(change.Services, catalog.NewService(numbered("service", i),
			catalog.ServedBy(catalog.ModePlain, service),
			catalog.Timeout(time.Minute),
			catalog.Grants(catalog.NewGrant(account, 0, 0)),
		))
	}
	_, err = w.publisher().Publish(ctx, change)
	return err
}

func (w *world) publisher() *publisher.Publisher {
	return publisher.New(w.store, translator.CatalogCodec{})
}

// between returns the bytes that the daemons and the platform have sent each other.
func (w *world) between() float64 {
	bytes := w.bytes.Load()
	for _, r := range w.relays {
		bytes += r.Bytes()
	}
	return float64(bytes)
}

// settle waits until an entry can reach an endpoint of the service.
func (w *world) settle(ctx context.Context, entry *process) error {
	var err error
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(startPause) {
		if _, err = caller.New(key).Ticket(ctx, entry.callers, service); err == nil {
			return nil
		}
	}
	return fault.New("settle", KindSetup, err)
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
