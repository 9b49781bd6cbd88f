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

// Error is a process that could not run.
type Error = fault.Error[Kind]

// World is what the process needs of the platform.
type World struct {
	Config  kingcupstile.Feed[routing.Table]
	Runners kingcupstile.Feed[runner.Runner]
	Clock   kingcupstile.Clock
	// Worker returns what reaches the rank at an IP address and port.
	Worker func(address string) kingcupstile.Worker
}

const (
	// tickEvery is how often the control goroutine looks at what is due: less than a pass takes.
	tickEvery = 20 * time.Millisecond
	// callTimeout bounds a call to a rank, through the process beside it and then directly.
	callTimeout = 300 * time.Millisecond
	// giveTimeout bounds an order, with the copying of a map.
	giveTimeout = 2800 * time.Millisecond
	// learnTimeout bounds the reading of configuration and runners.
	learnTimeout = 3 * time.Second
	headerTime   = time.Second
	// switchLead is the time that a switch takes besides copying: two passes and a few calls.
	switchLead = 200 * time.Millisecond
	// horizon is how long a demand is expected to last; the users' demand shifts every few seconds.
	horizon = 2500 * time.Millisecond
)

// Caretaker runs the process beside a runner.
type Caretaker struct {
	settings parser.Place
	world    World
	log      *slog.Logger
	loop     *looper.Loop[conductor.State, conductor.Event, conductor.Effect]
	meter    *meter.Meter
	own      kingcupstile.Worker
	mu       sync.Mutex
	ranks    map[string]kingcupstile.Executor
}

// New returns the process beside a runner with the given settings.
func New(s parser.Place, w World, log *slog.Logger) *Caretaker {
	return &Caretaker{
		settings: s, world: w, log: log.With("vm", s.Name), meter: meter.New(), own: w.Worker(s.Engine),
		ranks: map[string]kingcupstile.Executor{},
	}
}

// Run serves until stop ends.
func (c *Caretaker) Run(stop context.Context) error {
	c.loop = looper.New(conductor.New(c.settings.Engine, rand.Uint64()), conductor.Step, c.handle)
	go c.loop.Run(stop)
	handlers := map[string]http.Handler{c.beside(c.settings.IP): ranker.Handler(c.own)}
	if c.settings.Page != "" {
		handlers[c.settings.Page] = c.meter
	}
	for address, handler := range handlers {
		l, err := (&net.ListenConfig{}).Listen(stop, "tcp", address)
		if err != nil {
			return fault.New("listen", KindListen, err)
		}
		server := &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTime, ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
		}
		defer func() { _ = server.Close() }()
		go func() { _ = server.Serve(l) }()
	}
	c.log.Info("endpoint process starts", "engine", c.settings.Engine, "service", c.settings.Service)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.send(conductor.Tick{At: c.world.Clock.Now()})
		case <-stop.Done():
			c.log.Info("endpoint process ends")
			return nil
		}
	}
}

// beside returns the address of the process beside a runner on a VM.
func (c *Caretaker) beside(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(c.settings.Internal[0]))
}

// rank returns what reaches the rank of the runner at an address.
func (c *Caretaker) rank(address string) kingcupstile.Executor {
	if address == c.settings.Engine {
		return executor.New(c.own)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, there := c.ranks[address]
	if !there {
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			return executor.New(c.world.Worker(address))
		}
		r = ranker.New(c.beside(ip), c.world.Worker(address))
		c.ranks[address] = r
	}
	return r
}

// send hands an event to the control goroutine.
func (c *Caretaker) send(e conductor.Event) {
	if err := c.loop.Send(context.Background(), e); err != nil {
		c.log.Debug("event dropped", "error", err)
	}
}

// handle carries out an effect; it runs on the control goroutine and must not block.
func (c *Caretaker) handle(ctx context.Context, effect conductor.Effect) {
	switch e := effect.(type) {
	case conductor.Log:
		c.log.Info(e.Message, e.Args...)
	case conductor.ListRunners:
		go c.learn(ctx)
	case conductor.FetchReport:
		go c.ask(ctx, e.Runner)
	case conductor.SendOrder:
		go c.give(ctx, e)
	case conductor.FetchHoldings:
		go c.verify(ctx, e.Runner)
	case conductor.FetchCounts:
		go c.count(ctx, e.Runner)
	}
}

func (c *Caretaker) ask(ctx context.Context, name string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := c.rank(name).Report(call)
	if err != nil {
		c.log.Debug("rank not heard", "runner", name, "error", err)
		c.send(conductor.CallFailed{Runner: name, At: c.world.Clock.Now()})
		return
	}
	c.send(conductor.ReportReceived{Runner: name, Report: r, At: c.world.Clock.Now()})
}

func (c *Caretaker) give(ctx context.Context, e conductor.SendOrder) {
	call, cancel := context.WithTimeout(ctx, giveTimeout)
	defer cancel()
	carry := c.rank(e.Runner).Execute
	if e.Direct {
		carry = c.rank(e.Runner).ExecuteDirect
	}
	done, err := carry(call, e.Order)
	c.log.Info("order", "runner", e.Runner, "verb", e.Order.Verb, "version", e.Order.Version, "step", e.Order.Step,
		"epoch", e.Order.Epoch, "orders", e.Order.ExpectedOrderCount, "outcome", outcome(errors.CombineErrors(err, done.Err)))
	if err != nil {
		c.send(conductor.CallFailed{Runner: e.Runner, At: c.world.Clock.Now()})
		return
	}
	c.send(conductor.ReportReceived{Runner: e.Runner, Report: done.Report, VerifiedVersion: done.VerifiedVersion, At: c.world.Clock.Now()})
}

// outcome returns what became of an order, as the log names it.
func outcome(err error) string {
	if err == nil {
		return "begun"
	}
	return string(fault.KindOf[kingcupstile.Kind](err))
}

func (c *Caretaker) verify(ctx context.Context, name string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h, err := c.rank(name).Holdings(call)
	if err != nil {
		c.log.Debug("rank not verified", "runner", name, "error", err)
		c.send(conductor.CallFailed{Runner: name, At: c.world.Clock.Now()})
		return
	}
	c.send(conductor.HoldingsReceived{Runner: name, Holdings: h, At: c.world.Clock.Now()})
}

func (c *Caretaker) count(ctx context.Context, name string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counts, err := c.rank(name).Counts(call)
	if err != nil {
		c.log.Debug("rank not counted", "runner", name, "error", err)
		return
	}
	c.send(conductor.CountsReceived{Runner: name, Counts: counts, At: c.world.Clock.Now()})
}

// learn reads which runners of the service there are, and how its engines work.
func (c *Caretaker) learn(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	tables, err := c.world.Config.List(call)
	if err == nil && len(tables.Items) == 0 {
		return
	}
	var list []runner.Runner
	if err == nil {
		l, failed := c.world.Runners.List(call)
		list, err = l.Items, failed
	}
	if err != nil {
		c.log.Warn("runners not learnt", "error", err)
		return
	}
	service, found := tables.Items[0].Service(c.settings.Service)
	if !found {
		c.log.Warn("service unknown", "service", c.settings.Service)
		return
	}
	c.send(ranked(service, list, c.settings.Weight))
}

// ranked returns the event for the runners and engines of a service.
func ranked(s routing.Service, list []runner.Runner, weight int) conductor.RunnersListed {
	e := s.Engine()
	event := conductor.RunnersListed{Shape: conductor.Shape{Sets: e.Sets, Experts: e.Experts, Bounds: leveler.Bounds{
		Places: e.Places, Spare: e.Spare, CopyTime: e.CopyTime, Overhead: switchLead, Horizon: horizon, Weight: float64(weight) / 100,
	}}}
	for _, r := range list {
		if r.Service() == s.Name() {
			event.Runners = append(event.Runners, r.Address())
		}
	}
	return event
}
