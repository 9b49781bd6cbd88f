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

// testbed is a platform stand-in in this process with daemon processes that use it. The field bytes counts what all
// stand-ins read and write; each daemon's peers reach it through a relay that counts bytes, too.
type testbed struct {
	binary  binary
	store   *platform.Store
	address string
	bytes   atomic.Int64
	relays  []*relay.Relay
	running []*process
	closers []func()
}

func newTestbed(ctx context.Context, b binary) (*testbed, error) {
	t := &testbed{binary: b, store: platform.New()}
	address, err := t.serve(ctx, platform.Handler(t.store))
	t.address = address
	return t, err
}

// serve starts a stand-in on loopback, whose bytes are counted, and returns its address.
func (t *testbed) serve(ctx context.Context, handler http.Handler) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fault.New("serve stand-in", KindSetup, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startLimit}
	go func() { _ = server.Serve(countingListener{l, &t.bytes}) }()
	t.closers = append(t.closers, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// close ends all daemons, with two signals so that none waits for requests in flight, and then the stand-ins.
func (t *testbed) close() {
	for range 2 {
		for _, p := range t.running {
			p.signal()
		}
		time.Sleep(signalGap)
	}
	for _, p := range t.running {
		_ = p.command.Wait()
	}
	for i := len(t.closers) - 1; i >= 0; i-- {
		t.closers[i]()
	}
}

// daemon starts a daemon and puts its VM into the VM list; close ends it.
func (t *testbed) daemon(ctx context.Context, settings map[string]string) (*process, error) {
	settings["platform"] = t.address
	role, name, pool := settings["role"], settings["name"], settings["pool"]
	p, err := t.binary.start(ctx, settings)
	if err != nil {
		return nil, err
	}
	t.running = append(t.running, p)
	peers, err := relay.New(p.peers)
	if err != nil {
		return nil, fault.New("start daemon", KindSetup, err)
	}
	t.relays = append(t.relays, peers)
	t.closers = append(t.closers, peers.Close)
	t.store.PutVM(roster.NewVM(name, roster.Role(role), roster.Centre("kgl-a"), roster.Pool(pool),
		roster.CallerAddress(p.callers), roster.PeerAddress(peers.Address())))
	return p, nil
}

// publish publishes a configuration with one service and some accounts, the first of which has the callers' key.
func (t *testbed) publish(ctx context.Context, accounts int) error {
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
	p := t.publisher()
	current, err := p.Read(ctx)
	if err != nil {
		return err
	}
	change.Base = current.Version()
	_, err = p.Publish(ctx, change)
	return err
}

// publishServices adds n services to the configuration, each allowed for the account with the key.
func (t *testbed) publishServices(ctx context.Context, n int) error {
	current, err := t.publisher().Read(ctx)
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
	_, err = t.publisher().Publish(ctx, change)
	return err
}

func (t *testbed) publisher() *publisher.Publisher {
	return publisher.New(t.store, translator.CatalogCodec{})
}

// carriedBytes returns the bytes that the stand-ins and the relays have carried since the start.
func (t *testbed) carriedBytes() float64 {
	bytes := t.bytes.Load()
	for _, r := range t.relays {
		bytes += r.Bytes()
	}
	return float64(bytes)
}

// awaitService waits until an entry can reach an endpoint of the service, and returns an error of KindSetup if it
// cannot within startLimit.
func (t *testbed) awaitService(ctx context.Context, entry *process) error {
	var err error
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if _, err = caller.New(key).Ticket(ctx, entry.callers, service); err == nil {
			return nil
		}
	}
	return fault.New("settle", KindSetup, err)
}

// countingListener counts the bytes that its accepted connections read and write.
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
