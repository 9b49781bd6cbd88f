package caretaker

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/conductor"
	"github.com/kingcupstile/kingcupstile/coordination/executor"
	"github.com/kingcupstile/kingcupstile/coordination/leveler"
	"github.com/kingcupstile/kingcupstile/coordination/looper"
	"github.com/kingcupstile/kingcupstile/protocol/parser"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/transport/meter"
	"github.com/kingcupstile/kingcupstile/transport/ranker"
)

// Kind classifies why the process could not run.
type Kind string

// KindListen says that an address could not be listened on.
const KindListen Kind = "listen"

// Error reports why the process could not run.
type Error = fault.Error[Kind]

// Dependencies are the services outside the process that it uses.
type Dependencies struct {
	// Config holds the services, Runners the runners of all services.
	Config  kingcupstile.Feed[routing.Table]
	Runners kingcupstile.Feed[runner.Runner]
	Clock   kingcupstile.Clock
	// Worker returns a client of the rank at an IP address and port.
	Worker func(address string) kingcupstile.Worker
}

const (
	// tickInterval is the time between two ticks of the control state; it is shorter than a pass of the engine.
	tickInterval = 20 * time.Millisecond
	// callTimeout bounds a call to a rank, including the direct call to the rank when its sidecar does not answer.
	callTimeout = 300 * time.Millisecond
	// orderTimeout bounds an order, including the copying of experts for a new map.
	orderTimeout = 2800 * time.Millisecond
	// loadTimeout bounds the reading of the configuration and the list of runners, both together.
	loadTimeout   = 3 * time.Second
	headerTimeout = time.Second
	// switchLead is the time that a switch to a new map takes in addition to copying: two passes and a few calls.
	switchLead = 200 * time.Millisecond
	// demandHorizon is how long the measured demand is expected to last; users' demand shifts every few seconds.
	demandHorizon = 2500 * time.Millisecond
)

// Caretaker is the process beside a runner.
type Caretaker struct {
	settings parser.PlatformSettings
	deps     Dependencies
	log      *slog.Logger
	loop     *looper.Loop[conductor.State, conductor.Event, conductor.Effect]
	meter    *meter.Meter
	ownRank  kingcupstile.Worker
	// mu guards clients, which holds the client of each rank by the runner's address.
	mu      sync.Mutex
	clients map[string]kingcupstile.Executor
}

// New returns a process with the given settings; it serves nothing until Run is called.
func New(s parser.PlatformSettings, d Dependencies, log *slog.Logger) *Caretaker {
	return &Caretaker{
		settings: s, deps: d, log: log.With("vm", s.Name), meter: meter.New(), ownRank: d.Worker(s.Engine),
		clients: map[string]kingcupstile.Executor{},
	}
}

// Run serves until stop ends; it returns an Error of KindListen if an address can't be listened on.
func (c *Caretaker) Run(stop context.Context) error {
	c.loop = looper.New(conductor.New(c.settings.Engine, rand.Uint64()), conductor.Step, c.handle)
	go c.loop.Run(stop)
	handlers := map[string]http.Handler{c.sidecarAddress(c.settings.IP): ranker.Handler(c.ownRank)}
	if c.settings.MetricsAddress != "" {
		handlers[c.settings.MetricsAddress] = c.meter
	}
	for address, handler := range handlers {
		l, err := (&net.ListenConfig{}).Listen(stop, "tcp", address)
		if err != nil {
			return fault.New("listen", KindListen, err)
		}
		server := &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
		}
		defer func() { _ = server.Close() }()
		go func() { _ = server.Serve(l) }()
	}
	c.log.Info("endpoint process starts", "engine", c.settings.Engine, "service", c.settings.Service)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.send(conductor.Tick{At: c.deps.Clock.Now()})
		case <-stop.Done():
			c.log.Info("endpoint process ends")
			return nil
		}
	}
}

// sidecarAddress returns the address and port at which the sidecar on the VM with an IP address serves its rank.
func (c *Caretaker) sidecarAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(c.settings.InternalPorts[0]))
}

// rankClient returns the client of the rank of the runner at an address: without a sidecar in between for the process's
// own runner, and through the sidecar for all others.
func (c *Caretaker) rankClient(address string) kingcupstile.Executor {
	if address == c.settings.Engine {
		return executor.New(c.ownRank)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, known := c.clients[address]
	if !known {
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			return executor.New(c.deps.Worker(address))
		}
		r = ranker.New(c.sidecarAddress(ip), c.deps.Worker(address))
		c.clients[address] = r
	}
	return r
}

// send queues an event for the control goroutine; it waits while the queue is full.
func (c *Caretaker) send(e conductor.Event) {
	if err := c.loop.Send(context.Background(), e); err != nil {
		c.log.Debug("control loop has stopped; event dropped", "error", err)
	}
}

// handle carries out an effect; it runs on the control goroutine and must not block.
func (c *Caretaker) handle(ctx context.Context, effect conductor.Effect) {
	switch e := effect.(type) {
	case conductor.Log:
		c.log.Info(e.Message, e.Args...)
	case conductor.ListRunners:
		go c.loadRunners(ctx)
	case conductor.FetchReport:
		go c.requestReport(ctx, e.Runner)
	case conductor.SendOrder:
		go c.sendOrder(ctx, e)
	case conductor.FetchHoldings:
		go c.requestHoldings(ctx, e.Runner)
	case conductor.FetchCounts:
		go c.requestCounts(ctx, e.Runner)
	}
}

func (c *Caretaker) requestReport(ctx context.Context, name string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.rankClient(name).Report(call)
	if err != nil {
		c.log.Debug("report request to rank failed; asking again at the next tick if still due", "runner", name, "error", err)
		c.send(conductor.CallFailed{Runner: name, At: c.deps.Clock.Now()})
		return
	}
	c.send(conductor.ReportReceived{Runner: name, Report: r, At: c.deps.Clock.Now()})
}

func (c *Caretaker) sendOrder(ctx context.Context, e conductor.SendOrder) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	carry := c.rankClient(e.Runner).Execute
	if e.Direct {
		carry = c.rankClient(e.Runner).ExecuteDirect
	}
	done, err := carry(call, e.Order)
	c.log.Info("order", "runner", e.Runner, "verb", e.Order.Verb, "version", e.Order.Version, "step", e.Order.Step,
		"epoch", e.Order.Epoch, "orders", e.Order.ExpectedOrderCount, "outcome", outcome(errors.CombineErrors(err, done.Err)))
	if err != nil {
		c.send(conductor.CallFailed{Runner: e.Runner, At: c.deps.Clock.Now()})
		return
	}
	c.send(conductor.ReportReceived{Runner: e.Runner, Report: done.Report, VerifiedVersion: done.VerifiedVersion, At: c.deps.Clock.Now()})
}

// outcome returns the value of an order's outcome in the log.
func outcome(err error) string {
	if err == nil {
		return "begun"
	}
	return string(fault.KindOf[kingcupstile.Kind](err))
}

func (c *Caretaker) requestHoldings(ctx context.Context, name string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := c.rankClient(name).Holdings(call)
	if err != nil {
		c.log.Debug("holdings request to rank failed; asking again at the next tick if still needed", "runner", name, "error", err)
		c.send(conductor.CallFailed{Runner: name, At: c.deps.Clock.Now()})
		return
	}
	c.send(conductor.HoldingsReceived{Runner: name, Holdings: h, At: c.deps.Clock.Now()})
}

func (c *Caretaker) requestCounts(ctx context.Context, name string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counts, err := c.rankClient(name).Counts(call)
	if err != nil {
		c.log.Debug("expert counts not read from rank; the next read includes them", "runner", name, "error", err)
		return
	}
	c.send(conductor.CountsReceived{Runner: name, Counts: counts, At: c.deps.Clock.Now()})
}

// loadRunners reads the list of runners and the engine settings of the service, and sends both to the control state.
// It does nothing while the platform holds no configuration.
func (c *Caretaker) loadRunners(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	tables, err := c.deps.Config.List(call)
	if err == nil && len(tables.Items) == 0 {
		return
	}
	var list []runner.Runner
	if err == nil {
		l, failed := c.deps.Runners.List(call)
		list, err = l.Items, failed
	}
	if err != nil {
		c.log.Warn("configuration or runners cannot be read; keeping the last known runners", "error", err)
		return
	}
	service, found := tables.Items[0].Service(c.settings.Service)
	if !found {
		c.log.Warn("service not found in the configuration; keeping the last known runners", "service", c.settings.Service)
		return
	}
	c.send(rankedEvent(service, list, c.settings.Weight))
}

// rankedEvent returns the event with the runners and the engine settings of a service; weight is a percentage.
func rankedEvent(s routing.Service, list []runner.Runner, weight int) conductor.RunnersListed {
	e := s.Engine()
	event := conductor.RunnersListed{Shape: conductor.Shape{Sets: e.Sets, Experts: e.Experts, Bounds: leveler.Bounds{
		Places: e.Places, Spare: e.Spare, CopyTime: e.CopyTime, Overhead: switchLead, Horizon: demandHorizon, Weight: float64(weight) / 100,
	}}}
	for _, r := range list {
		if r.Service() == s.Name() {
			event.Runners = append(event.Runners, r.Address())
		}
	}
	return event
}
