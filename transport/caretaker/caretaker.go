package caretaker

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/conductor"
	"github.com/kingcupstile/kingcupstile/coordination/leveler"
	"github.com/kingcupstile/kingcupstile/coordination/looper"
	"github.com/kingcupstile/kingcupstile/coordination/reserver"
	"github.com/kingcupstile/kingcupstile/protocol/parser"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/rank"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/transport/meter"
	"github.com/kingcupstile/kingcupstile/transport/prober"
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
	// Health returns a client for health checks of the runner at an IP address and port. It is needed only where the load of cold
	// runners is limited.
	Health func(address string) kingcupstile.HealthChecker
	// Meter keeps the metrics; if it is nil, the process has one of its own.
	Meter *meter.Meter
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
	// maxCallBytes is the largest size of another process's call, above all of one with a whole map.
	maxCallBytes = 8 << 20
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
	group    *ranker.Group
	// book counts the open requests of the own runner for load probes.
	book *reserver.Reserver
}

// New returns a process with the given settings; it serves nothing until Run is called.
func New(s parser.PlatformSettings, d Dependencies, log *slog.Logger) *Caretaker {
	if d.Meter == nil {
		d.Meter = meter.New()
	}
	return &Caretaker{
		settings: s, deps: d, log: log.With("vm", s.Name), meter: d.Meter,
		group: ranker.NewGroup(s.Engine, d.Worker(s.Engine), strconv.Itoa(s.InternalPorts[0]), d.Worker), book: reserver.New(),
	}
}

// Run serves until stop ends; it returns an Error of KindListen if an address can't be listened on.
func (c *Caretaker) Run(stop context.Context) error {
	c.loop = looper.New(conductor.New(c.settings.Engine, rand.Uint64()), conductor.Step, c.handle)
	go c.loop.Run(stop)
	handlers := map[string]http.Handler{
		net.JoinHostPort(c.settings.IP, strconv.Itoa(c.settings.InternalPorts[0])): http.MaxBytesHandler(ranker.Handler(c.group), maxCallBytes),
	}
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
	socket, err := (&net.ListenConfig{}).ListenPacket(stop, "udp4", net.JoinHostPort(c.settings.IP, strconv.Itoa(c.settings.InternalPorts[0])))
	if err != nil {
		return fault.New("listen", KindListen, err)
	}
	go prober.Serve(stop, socket, c.book, c.deps.Clock.Now, c.log)
	if c.settings.ColdOverage > 0 && c.deps.Health != nil {
		c.book.TrackCold()
		go c.watchCold(stop)
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
	case conductor.FetchReports:
		go c.requestReports(ctx, e.Runners)
	case conductor.SendOrders:
		go c.sendOrders(ctx, e.Orders)
	case conductor.FetchDemand:
		go c.requestDemand(ctx, e.Runners)
	case conductor.ComputePlan:
		go c.computePlan(e)
	}
}

func (c *Caretaker) requestReport(ctx context.Context, name string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := c.deps.Clock.Now()
	r, err := c.group.Rank(name).Report(call)
	if err != nil {
		c.log.Debug("report request to rank failed; asking again at the next tick if still due", "runner", name, "error", err)
		c.send(conductor.CallFailed{Runner: name, At: c.deps.Clock.Now()})
		return
	}
	if name == c.settings.Engine {
		c.book.Report(rank.Load{
			Open: r.ActiveRequests + r.QueuedRequests, Epoch: r.Epoch, Step: r.Step, GroupOpen: r.GroupOpen,
		}, requestedAt)
	}
	c.send(conductor.ReportReceived{Runner: name, Report: r, At: c.deps.Clock.Now()})
}

func (c *Caretaker) sendOrder(ctx context.Context, e conductor.SendOrder) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	carry := c.group.Rank(e.Runner).Execute
	if e.Direct {
		carry = c.group.Rank(e.Runner).ExecuteDirect
	}
	done, err := carry(call, e.Order)
	c.log.Info("order", "runner", e.Runner, "verb", e.Order.Verb, "version", e.Order.Version, "step", e.Order.Step,
		"epoch", e.Order.Epoch, "orders", e.Order.ExpectedOrderCount, "outcome", outcome(errors.CombineErrors(err, done.Err)))
	if err != nil {
		c.send(conductor.CallFailed{Runner: e.Runner, At: c.deps.Clock.Now()})
		return
	}
	c.send(conductor.ReportReceived{
		Runner: e.Runner, Report: done.Report, Outcome: outcomeOf(done.Err), VerifiedVersion: done.VerifiedVersion, At: c.deps.Clock.Now(),
	})
}

// outcomeOf returns the outcome of an order by the error of sending it.
func outcomeOf(err error) conductor.Outcome {
	switch {
	case err == nil:
		return conductor.OutcomeBegun
	case fault.KindOf[kingcupstile.Kind](err) == kingcupstile.KindConflict:
		return conductor.OutcomeRefused
	}
	return conductor.OutcomeUnknown
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
	h, err := c.group.Rank(name).Holdings(call)
	if err != nil {
		c.log.Debug("holdings request to rank failed; asking again at the next tick if still needed", "runner", name, "error", err)
		c.send(conductor.CallFailed{Runner: name, At: c.deps.Clock.Now()})
		return
	}
	c.send(conductor.HoldingsReceived{Runner: name, Holdings: h, At: c.deps.Clock.Now()})
}

// requestReports requests the reports of many ranks, some through others.
func (c *Caretaker) requestReports(ctx context.Context, names []string) {
	targets := make([]ranker.Target, len(names))
	for i, name := range names {
		targets[i].Address = name
	}
	c.group.Execute(ctx, rank.Order{}, targets, func(results []ranker.Result) { c.sendAnswers("", results) })
}

// sendOrders sends many ranks the same order, some through others.
func (c *Caretaker) sendOrders(ctx context.Context, orders []conductor.SendOrder) {
	targets := make([]ranker.Target, len(orders))
	for i, o := range orders {
		targets[i] = ranker.Target{Address: o.Runner, OrderCount: o.Order.ExpectedOrderCount}
	}
	o, outcomes, start := orders[0].Order, make(chan string, len(orders)), time.Now()
	c.group.Execute(ctx, o, targets, func(results []ranker.Result) {
		for _, r := range results {
			outcomes <- r.Outcome()
		}
		c.sendAnswers(o.Verb, results)
	})
	close(outcomes)
	counts := map[string]int{}
	for outcome := range outcomes {
		counts[outcome]++
	}
	c.log.Info("orders", "verb", o.Verb, "version", o.Version, "step", o.Step, "epoch", o.Epoch, "ranks", len(orders),
		"outcomes", counts, "took", time.Since(start))
}

// sendAnswers passes the answers of ranks to the control state; with an empty verb, they answer requests for reports.
func (c *Caretaker) sendAnswers(verb rank.Verb, results []ranker.Result) {
	if len(results) == 0 {
		return
	}
	e := conductor.AnswersReceived{At: c.deps.Clock.Now()}
	for _, r := range results {
		if r.Unanswered {
			e.Failed = append(e.Failed, r.Address)
			continue
		}
		report := conductor.ReportReceived{Runner: r.Address, Report: r.Report, VerifiedVersion: r.VerifiedVersion, At: e.At}
		if verb != "" {
			report.Outcome = outcomeOf(r.Err)
		}
		e.Reports = append(e.Reports, report)
	}
	c.send(e)
}

func (c *Caretaker) requestDemand(ctx context.Context, names []string) {
	c.group.Gather(ctx, names, func(counts rank.Counts) {
		c.send(conductor.DemandReceived{Epoch: counts.Epoch, Counts: counts.Counts, At: c.deps.Clock.Now()})
	})
}

func (c *Caretaker) computePlan(e conductor.ComputePlan) {
	plan, pays := leveler.Propose(e.Current, e.Demand, e.Bounds)
	c.send(conductor.PlanComputed{ID: e.ID, Plan: plan, Pays: pays, At: c.deps.Clock.Now()})
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
	c.recordRegistration(list)
	service, found := tables.Items[0].Service(c.settings.Service)
	if !found {
		c.log.Warn("service not found in the configuration; keeping the last known runners", "service", c.settings.Service)
		return
	}
	centres := make(map[string]string, len(list))
	for _, r := range list {
		centres[r.Address()] = r.Centre()
	}
	c.group.SetCentres(centres)
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
