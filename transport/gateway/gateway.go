package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/follower"
	"github.com/kingcupstile/kingcupstile/coordination/looper"
	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/coordination/placer"
	"github.com/kingcupstile/kingcupstile/coordination/retrier"
	"github.com/kingcupstile/kingcupstile/protocol/parser"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
	"github.com/kingcupstile/kingcupstile/transport/beater"
	"github.com/kingcupstile/kingcupstile/transport/forwarder"
	"github.com/kingcupstile/kingcupstile/transport/meter"
)

// Kind classifies why an entry could not run.
type Kind string

// KindListen says that an address could not be listened on.
const KindListen Kind = "listen"

// Error is an entry that could not run.
type Error = fault.Error[Kind]

// World is what an entry needs of the platform.
type World struct {
	Config   kingcupstile.Feed[routing.Table]
	Runners  kingcupstile.Feed[runner.Runner]
	Entries  kingcupstile.Feed[peer.Peer]
	Registry kingcupstile.Registry[peer.Peer]
	Dialect  kingcupstile.Dialect
	Clock    kingcupstile.Clock
	// Lookup serves callers that ask which entries to use, given the addresses for a data centre and region.
	Lookup func(addresses func(centre, region string) []string) http.Handler
	// Ready serves the platform's question whether the entry takes callers.
	Ready func(ready func() bool) http.Handler
}

// Gateway runs an entry.
type Gateway struct {
	settings  parser.Place
	platform  World
	log       *slog.Logger
	loop      *looper.Loop[overseer.State, overseer.Event, overseer.Effect]
	tracker   *placer.Board
	forwarder *forwarder.Forwarder
	meter     *meter.Meter
	self      peer.Peer
	config    *follower.Follower[routing.Table]
	runners   *follower.Follower[runner.Runner]
}

// New returns an entry with the given settings.
func New(s parser.Place, w World, log *slog.Logger) *Gateway {
	return &Gateway{
		settings: s, platform: w, log: log.With("vm", s.Name), tracker: placer.NewBoard(), meter: meter.New(),
		self: peer.Peer{
			Name: s.Name, Start: time.Now().UnixNano(), Callers: s.Callers, Centre: s.Centre, Region: s.Region,
			Beats: net.JoinHostPort(s.IP, strconv.Itoa(s.Internal[0])),
		},
	}
}

const (
	// headerTimeout and idleTime bound what callers may leave undone; operators' bounds are tighter and callers keep to them.
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
	// tickInterval is how often the control goroutine looks at ages.
	tickInterval = 100 * time.Millisecond
	// registerPause is the pause before a registration is tried again.
	registerPause = 300 * time.Millisecond
	// burstShare is the part of the bound on retries that entries save up together; the rest is for entries that start anew.
	burstShare = 0.4
	// retryRatioShare is the part of the bounded share of retries that entries use.
	retryRatioShare = 0.75
)

// Run serves until stop ends, then leaves without cutting a request in progress.
func (g *Gateway) Run(stop context.Context) error {
	control, end := context.WithCancel(context.WithoutCancel(stop))
	defer end()
	g.loop = looper.New(overseer.New(g.self, overseer.Trust(g.settings.Trust())), overseer.Step, g.handle)
	scope, closer := g.meter.Scope("kingcup")
	defer func() { _ = closer.Close() }()
	g.forwarder = forwarder.New(g.loop.Snapshot, g.platform.Clock, g.platform.Dialect,
		forwarder.Log(g.log), forwarder.Metrics(scope), forwarder.Tracker(g.tracker),
		forwarder.OnCrash(func(f suspect.Fingerprint, runner string) {
			g.send(overseer.Crashed{Fingerprint: f, Runner: runner, At: g.platform.Clock.Now()})
		}),
		forwarder.Retries(retrier.New(retrier.Bursts(g.retryBurst)), retryRatioShare*g.settings.Retries),
	)
	g.config = follower.New(g.platform.Config, g.platform.Clock, configSink{g}, follower.Wait[routing.Table](g.watchWait))
	g.runners = follower.New(g.platform.Runners, g.platform.Clock, runnerSink{g}, follower.Wait[runner.Runner](g.watchWait))
	go g.loop.Run(control)
	go g.config.Run(control)
	go g.runners.Run(control)
	entries := follower.New(g.platform.Entries, g.platform.Clock, peerSink{g}, follower.Wait[peer.Peer](func() time.Duration { return longWatchWait }))
	go entries.Run(control)
	go g.tick(control)
	servers, err := g.listen(control)
	defer func() {
		for _, s := range servers {
			_ = s.Close()
		}
	}()
	if err != nil {
		return err
	}
	go g.register(control)
	g.log.Info("entry starts", "callers", g.settings.Callers, "centre", g.settings.Centre)
	<-stop.Done()
	g.drain(control)
	return nil
}

// retryBurst returns how many retries this entry may save up.
func (g *Gateway) retryBurst() int {
	entries := len(g.loop.Snapshot().Peers()) + 1
	return max(1, int(burstShare*float64(g.settings.Slack)/float64(entries)))
}

// listen opens the entry's addresses.
func (g *Gateway) listen(ctx context.Context) ([]*http.Server, error) {
	handlers := map[string]http.Handler{
		g.settings.Callers: g.forwarder,
		g.settings.Lookup: g.platform.Lookup(func(centre, region string) []string {
			return g.loop.Snapshot().Addresses(centre, region, g.platform.Clock.Now())
		}),
		g.settings.Ready: g.platform.Ready(func() bool { return g.loop.Snapshot().IsReady(g.platform.Clock.Now()) }),
	}
	if g.settings.Page != "" {
		handlers[g.settings.Page] = g.meter
	}
	var servers []*http.Server
	for address, handler := range handlers {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return servers, fault.New("listen", KindListen, err)
		}
		server := &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
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

// heartbeats returns the heartbeats for the other entries by their addresses, and when to heartbeats again.
func (g *Gateway) heartbeats() (map[string]peer.Beat, time.Duration) {
	state, now, open := g.loop.Snapshot(), g.platform.Clock.Now(), g.tracker.Snapshot()
	beats := map[string]peer.Beat{}
	for _, p := range state.Peers() {
		beats[p.Beats] = state.Beat(p, open, now)
	}
	return beats, state.BeatEvery()
}

func (g *Gateway) receiveHeartbeat(b peer.Beat) {
	g.send(overseer.Heard{Beat: b, At: g.platform.Clock.Now()})
}

// send hands an event to the control goroutine.
func (g *Gateway) send(e overseer.Event) {
	if err := g.loop.Send(context.Background(), e); err != nil {
		g.log.Debug("event dropped", "error", err)
	}
}

// register keeps trying until the entry is registered.
func (g *Gateway) register(ctx context.Context) {
	for {
		err := g.platform.Registry.Register(ctx, g.self.Name, g.self)
		if err == nil {
			return
		}
		g.log.Warn("not registered", "error", err)
		if !pauser.Wait(ctx, registerPause) {
			return
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
	case overseer.Noted:
		g.log.Info(e.What, e.Details...)
	case overseer.Refresh:
		if e.Config {
			g.config.Nudge()
		}
		if e.Runners {
			g.runners.Nudge()
		}
	case overseer.Forget:
		go func() {
			if err := g.platform.Registry.Remove(ctx, e.Name); err != nil {
				g.log.Warn("registration not removed", "entry", e.Name, "error", err)
			}
		}()
	}
}
