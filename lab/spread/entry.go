package spread

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/carrier"
	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/coordination/looper"
	"github.com/kingcupstile/kingcupstile/coordination/spreader"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/standin/platform"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/member"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/state/roster"
	"github.com/kingcupstile/kingcupstile/transport/exchanger"
)

// entry is the control loop of one entry daemon, which the other entries reach by Twirp on loopback.
type entry struct {
	loop   *looper.Loop[director.State, director.Event, director.Effect]
	name   string
	server *http.Server
	cancel context.CancelFunc
}

// Send queues an event.
func (e *entry) Send(ctx context.Context, event spreader.Event) error {
	return e.loop.Send(ctx, director.SpreaderEvent{Event: event, At: time.Now()})
}

// Snapshot returns the state after the last event that was applied.
func (e *entry) Snapshot() spreader.State { return e.loop.Snapshot().Spreader() }

func (e *entry) version() uint64 { return e.loop.Snapshot().Catalog().Version() }

func (e *entry) stop() {
	e.cancel()
	_ = e.server.Close()
}

// countingListener counts the bytes that its accepted connections carry, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: l.bytes}, nil
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// start runs an entry and registers its VM in the store; the entry ends with ctx.
func start(ctx context.Context, store *platform.Store, i, centres int, bytes *atomic.Int64) (*entry, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.New("start entry", KindSetup, err)
	}
	name, centre, address := fmt.Sprintf("entry-%d", i), fmt.Sprintf("centre-%d", i%centres), l.Addr().String()
	ctx, cancel := context.WithCancel(ctx)
	e := &entry{name: name, cancel: cancel}
	c := carrier.New(e, timedWatches{store}, exchanger.New(), translator.CatalogCodec{})
	spread := spreader.New(name, centre, time.Now()).WithAddress(address)
	e.loop = looper.New(director.New().WithSpreader(spread), director.Step, func(ctx context.Context, effect director.Effect) {
		if s, ok := effect.(director.SpreaderEffect); ok {
			c.Handle(ctx, s.Effect)
		}
	})
	handler := exchanger.Handler(c, func() member.Status { return member.Status{} })
	e.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(countingListener{Listener: l, bytes: bytes}) }()
	go e.loop.Run(ctx)
	go c.Run(ctx)
	store.PutVM(roster.NewVM(name, roster.RoleEntry, roster.Centre(centre), roster.PeerAddress(address)))
	return e, nil
}

// timedWatches ends each watch of the stand-in after the carrier's watch time, as the platform does.
type timedWatches struct{ kingcupstile.Store }

// Watch waits for a newer version of an object, for the carrier's watch time at most.
func (w timedWatches) Watch(ctx context.Context, kind object.Kind, name string, after uint64) (object.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, carrier.LongPollDuration)
	defer cancel()
	return w.Store.Watch(ctx, kind, name, after)
}

// VMs waits for a newer version of the VM list, for the carrier's watch time at most.
func (w timedWatches) VMs(ctx context.Context, after uint64) (roster.Roster, error) {
	ctx, cancel := context.WithTimeout(ctx, carrier.LongPollDuration)
	defer cancel()
	return w.Store.(kingcupstile.VMLister).VMs(ctx, after)
}
