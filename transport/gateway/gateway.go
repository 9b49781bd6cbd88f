package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/follower"
	"github.com/kingcupstile/kingcupstile/coordination/looper"
	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/coordination/placer"
	"github.com/kingcupstile/kingcupstile/coordination/retrier"
	"github.com/kingcupstile/kingcupstile/coordination/sourcer"
	"github.com/kingcupstile/kingcupstile/protocol/parser"
	"github.com/kingcupstile/kingcupstile/state/evacuation"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/transport/beater"
	"github.com/kingcupstile/kingcupstile/transport/forwarder"
	"github.com/kingcupstile/kingcupstile/transport/meter"
	"github.com/kingcupstile/kingcupstile/transport/prober"
)

// Kind classifies why an entry could not start.
type Kind string

// KindListen says that one of the entry's addresses could not be opened.
const KindListen Kind = "listen"

// Error is the failure of an entry to start.
type Error = fault.Error[Kind]

// Dependencies is what an entry uses of the platform that it runs on.
type Dependencies struct {
	Config  kingcupstile.Feed[routing.Table]
	Runners kingcupstile.Feed[runner.Runner]
	Entries kingcupstile.Feed[peer.Peer]
	// Evacuations is the feed of the data centres that operators drain; it is read only where the settings ask for it.
	Evacuations kingcupstile.Feed[evacuation.Evacuation]
	Registry    kingcupstile.Registry[peer.Peer]
	// Copies returns the feeds of the copies that another entry serves at an address, and Replica serves this entry's.
	Copies  func(address string) Copies
	Replica http.Handler
	Dialect kingcupstile.Dialect
	// Meter keeps the metrics; if it is nil, the entry has one of its own.
	Meter *meter.Meter
	Clock kingcupstile.Clock
	// Lookup returns the handler that tells callers which entries to use; addresses returns them for a data centre and
	// region.
	Lookup func(addresses func(centre, region string) []string) http.Handler
	// Ready returns the handler of the platform's readiness check.
	Ready func(ready func() bool) http.Handler
}

// Copies are the feeds of another entry's copies of what the store holds.
type Copies struct {
	Config  kingcupstile.Feed[routing.Table]
	Runners kingcupstile.Feed[runner.Runner]
	Entries kingcupstile.Feed[peer.Peer]
	// Evacuations is as in Dependencies.
	Evacuations kingcupstile.Feed[evacuation.Evacuation]
}

// Gateway is one entry process.
type Gateway struct {
	settings  parser.PlatformSettings
	platform  Dependencies
	log       *slog.Logger
	loop      *looper.Loop[overseer.State, overseer.Event, overseer.Effect]
	tracker   *placer.Tracker
	forwarder *forwarder.Forwarder
	meter     *meter.Meter
	self      peer.Peer
	config    *follower.Follower[routing.Table]
	runners   *follower.Follower[runner.Runner]
	entries   *follower.Follower[peer.Peer]
	// evacuations is nil if this entry does not read which data centres are drained.
	evacuations *follower.Follower[evacuation.Evacuation]
	scope       tally.Scope
	// mu guards copies, the feeds of the entry at copiesAt.
	mu       sync.Mutex
	copies   Copies
	copiesAt string
	// round counts the rounds of heartbeats.
	round int
	// registrations is sent a value when the registration of this entry is missing in the store.
	registrations chan struct{}
}

// New returns an entry with the given settings; it opens nothing before Run.
func New(s parser.PlatformSettings, p Dependencies, log *slog.Logger) *Gateway {
	if p.Meter == nil {
		p.Meter = meter.New()
	}
	return &Gateway{
		settings: s, platform: p, log: log.With("vm", s.Name), tracker: placer.NewTracker(), meter: p.Meter,
		registrations: make(chan struct{}, 1),
		self: peer.Peer{
			Name: s.Name, Start: time.Now().UnixNano(), Callers: s.Callers, Centre: s.Centre, Region: s.Region,
			Beats: net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPorts[0])),
		},
	}
}

const (
	// headerTimeout and idleTimeout bound how long a caller may take to send a header, and how long a connection may be
	// idle; operators' bounds are tighter and callers keep to them.
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
	// maxHeaderBytes bounds the header of a caller's request, above what operators allow.
	maxHeaderBytes = 128 << 10
	// defaultMemory is the process's memory in MB unless the settings give it.
	defaultMemory = 256
	bytesPerMB    = 1 << 20
	// tickInterval is how often the control goroutine checks what has expired.
	tickInterval = 100 * time.Millisecond
	// registerPause is the pause before a failed registration is retried.
	registerPause = 300 * time.Millisecond
	// burstShare is the share of the settings' RetryBurst that the retry budgets of one service may hold at all entries
	// together; the rest is for entries that start anew.
	burstShare = 0.4
	// retryRatioShare is the part that entries use of the share of requests that the settings allow for retries.
	retryRatioShare = 0.75
)

// Run serves until stop ends, then drains: requests in progress may end until most of the grace period has passed. It
// returns an Error of KindListen if an address cannot be opened.
func (g *Gateway) Run(stop context.Context) error {
	control, end := context.WithCancel(context.WithoutCancel(stop))
	defer end()
	initial := overseer.New(g.self, overseer.MaxStaleness(g.settings.MaxKeyAge()),
		overseer.Evacuations(g.evacuationTime(), g.platform.Clock.Now()))
	g.loop = looper.New(initial, overseer.Step, g.handle)
	scope, closer := g.meter.Scope("kingcup")
	g.scope = scope
	defer func() { _ = closer.Close() }()
	socket, err := (&net.ListenConfig{}).ListenPacket(control, "udp4", net.JoinHostPort(g.settings.IP, "0"))
	if err != nil {
		return fault.New("listen", KindListen, err)
	}
	probes := prober.NewClient(socket, uint16(g.settings.InternalPorts[0]), g.log)
	go probes.Run(control)
	memory := int64(cmp.Or(g.settings.Memory, defaultMemory)) * bytesPerMB
	g.forwarder = forwarder.New(g.loop.Snapshot, g.platform.Clock, g.platform.Dialect, forwarder.Memory(memory),
		forwarder.Log(g.log), forwarder.Metrics(scope), forwarder.Tracker(g.tracker),
		forwarder.Report(g.send),
		forwarder.Retries(retrier.New(retrier.BurstFunc(g.retryBurst)), retryRatioShare*g.settings.RetryRatio),
		forwarder.Probes(probes), g.coldOption(), forwarder.Transfer(g.settings.Transfer),
	)
	config := sourcer.New(g.platform.Config, nearby(g, func(c Copies) kingcupstile.Feed[routing.Table] { return c.Config }))
	g.config = follower.New(config, g.platform.Clock, configSink{g}, follower.WatchWait[routing.Table](g.configWait),
		follower.Linked[routing.Table](g.isLinked))
	runners := sourcer.New(g.platform.Runners, nearby(g, func(c Copies) kingcupstile.Feed[runner.Runner] { return c.Runners }))
	g.runners = follower.New(runners, g.platform.Clock, runnerSink{g}, follower.WatchWait[runner.Runner](g.runnersWait),
		follower.Linked[runner.Runner](g.isLinked))
	if g.evacuationTime() > 0 {
		g.followEvacuations(control)
	}
	go g.loop.Run(control)
	go g.config.Run(control)
	go g.runners.Run(control)
	g.entries = follower.New(
		sourcer.New(g.platform.Entries, nearby(g, func(c Copies) kingcupstile.Feed[peer.Peer] { return c.Entries })),
		g.platform.Clock, peerSink{g},
		follower.WatchWait[peer.Peer](func() time.Duration { return longWatchWait }), follower.Linked[peer.Peer](g.isLinked))
	go g.entries.Run(control)
	go g.tick(control)
	servers, err := g.listen(control)
	defer closeServers(servers)
	if err != nil {
		return err
	}
	go g.keepRegistered(control)
	g.log.Info("entry started; listening for callers", "callers", g.settings.Callers, "centre", g.settings.Centre)
	<-stop.Done()
	g.drain(control)
	return nil
}

// shutdownTimeout is how long requests may take that arrived just before the servers stop listening.
const shutdownTimeout = 300 * time.Millisecond

// closeServers stops listening, waits a little for requests that have just arrived, and closes all connections.
func closeServers(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, s := range servers {
		wait.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				_ = s.Close()
			}
		})
	}
	wait.Wait()
}

// retryBurst returns how many retries each service's budget at this entry may hold.
func (g *Gateway) retryBurst() int {
	entries := len(g.loop.Snapshot().Peers()) + 1
	return max(1, int(burstShare*float64(g.settings.RetryBurst)/float64(entries)))
}

// listen opens the entry's addresses and starts its HTTP servers and the exchange of heartbeats. On an error it returns
// the servers started so far.
func (g *Gateway) listen(ctx context.Context) ([]*http.Server, error) {
	handlers := map[string]http.Handler{
		g.settings.Callers: g.forwarder,
		g.settings.Lookup: g.platform.Lookup(func(centre, region string) []string {
			return g.loop.Snapshot().Addresses(centre, region, g.platform.Clock.Now())
		}),
		g.settings.Ready: g.platform.Ready(func() bool { return g.loop.Snapshot().IsReady(g.platform.Clock.Now()) }),
	}
	if g.platform.Replica != nil {
		handlers[g.self.Beats] = g.platform.Replica
	}
	if g.settings.MetricsAddress != "" {
		handlers[g.settings.MetricsAddress] = g.meter
	}
	var servers []*http.Server
	for address, handler := range handlers {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return servers, fault.New("listen", KindListen, err)
		}
		server := &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
		}
		servers = append(servers, server)
		go func() { _ = server.Serve(l) }()
	}
	socket, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", g.self.Beats)
	if err != nil {
		return servers, fault.New("listen", KindListen, err)
	}
	go beater.New(socket, g.log).Run(ctx, g.heartbeats, g.receiveHeartbeat)
	return servers, nil
}

// heartbeats returns the heartbeats to send to the other entries by their addresses, and the interval until the next
// ones. Linked entries get one in each round, and the others one in as many rounds as make up their interval.
func (g *Gateway) heartbeats() (map[string]peer.Heartbeat, time.Duration) {
	state, now := g.loop.Snapshot(), g.platform.Clock.Now()
	entries := len(state.Heartbeats(now)) + 1
	open := g.tracker.Snapshot(func(id string) bool {
		r, _ := state.Runners().Runner(id)
		return g.forwarder.IsProbed(state, r.Service(), entries)
	})
	g.round++
	rounds := int(state.HeartbeatInterval() / state.LinkInterval())
	to := state.Linked(now)
	for _, p := range state.Peers() {
		if (g.round+int(runner.Key(p.Name)))%max(1, rounds) == 0 {
			to = append(to, p)
		}
	}
	return state.HeartbeatsTo(to, open, now), state.LinkInterval()
}

// nearby returns a function that offers the copy of a kind at an entry that this one is linked to, if there is one.
func nearby[T any](g *Gateway, of func(Copies) kingcupstile.Feed[T]) func() (kingcupstile.Feed[T], bool) {
	return func() (kingcupstile.Feed[T], bool) {
		parents := g.loop.Snapshot().Parents(g.platform.Clock.Now())
		if len(parents) == 0 || g.platform.Copies == nil {
			return nil, false
		}
		// Both parents have the same children, so that half of these go to each.
		address := parents[int(runner.Key(g.self.Name))%len(parents)].Beats
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.copiesAt != address {
			g.copies, g.copiesAt = g.platform.Copies(address), address
		}
		return of(g.copies), true
	}
}

func (g *Gateway) receiveHeartbeat(b peer.Heartbeat) {
	g.send(overseer.HeartbeatReceived{Heartbeat: b, At: g.platform.Clock.Now()})
}

// send queues an event for the control goroutine and waits while the queue is full; the event is dropped if the loop
// stopped.
func (g *Gateway) send(e overseer.Event) {
	if err := g.loop.Send(context.Background(), e); err != nil {
		g.log.Debug("control loop has stopped; event dropped", "error", err)
	}
}

// keepRegistered registers the entry in the store, and again each time that its registration is missing there, until ctx ends.
func (g *Gateway) keepRegistered(ctx context.Context) {
	for g.register(ctx) {
		select {
		case <-g.registrations:
			g.scope.Counter("registrations_missing").Inc(1)
		case <-ctx.Done():
			return
		}
	}
}

// register registers the entry in the store, and retries until that succeeds. It returns false if ctx ends before.
func (g *Gateway) register(ctx context.Context) bool {
	for {
		err := g.platform.Registry.Register(ctx, g.self.Name, g.self)
		if err == nil {
			return true
		}
		g.log.Warn("registering this entry in the store failed; retrying after a short pause", "error", err)
		if !pauser.Wait(ctx, registerPause) {
			return false
		}
	}
}

func (g *Gateway) tick(ctx context.Context) {
	for pauser.Wait(ctx, tickInterval) {
		g.send(overseer.Tick{At: g.platform.Clock.Now()})
	}
}

// handle carries out an effect; it runs on the control goroutine and must not block.
func (g *Gateway) handle(ctx context.Context, effect overseer.Effect) {
	switch e := effect.(type) {
	case overseer.Log:
		g.log.Info(e.Message, e.Args...)
	case overseer.Refresh:
		g.refresh(e)
	case overseer.Evacuated:
		g.recordEvacuated(e)
	case overseer.Unread:
		g.scope.Gauge("config_unread").Update(gaugeOf(!e.Ended))
	case overseer.Restored:
		g.scope.Counter("store_restores").Inc(1)
		g.scope.Gauge("store_era").Update(float64(e.Era))
	case overseer.Register:
		select {
		case g.registrations <- struct{}{}:
		default:
		}
	case overseer.Withhold:
		// In another goroutine, as it reports what this entry knows of the parts.
		go g.forwarder.Withhold(e.Parts)
	case overseer.RunnerLost:
		g.forwarder.RecordLoss(e.Service, e.At)
	case overseer.Deregister:
		go func() {
			if err := g.platform.Registry.Remove(ctx, e.Name); err != nil {
				g.log.Warn("removing a silent entry's registration from the store failed; it is not retried now", "entry", e.Name, "error", err)
			}
		}()
	}
}

// refresh has the kinds of objects that an effect names be read at once.
func (g *Gateway) refresh(e overseer.Refresh) {
	if e.Config {
		g.config.Refresh()
	}
	if e.Runners {
		g.runners.Refresh()
	}
	if e.Entries {
		g.entries.Refresh()
	}
	if e.Evacuations {
		g.evacuations.Refresh()
	}
}

// gaugeOf returns the value of a gauge for a state, 1 while it holds.
func gaugeOf(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// coldOption returns the option that limits the load of cold runners, which does nothing unless the settings ask for it.
func (g *Gateway) coldOption() forwarder.Option {
	if g.settings.ColdOverage <= 0 {
		return func(*forwarder.Forwarder) {}
	}
	return forwarder.Cold(g.settings.ColdOverage, g.settings.ColdSlack)
}
