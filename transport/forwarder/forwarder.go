package forwarder

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/budgeter"
	"github.com/kingcupstile/kingcupstile/coordination/estimator"
	"github.com/kingcupstile/kingcupstile/coordination/localizer"
	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/pacer"
	"github.com/kingcupstile/kingcupstile/coordination/placer"
	"github.com/kingcupstile/kingcupstile/coordination/quarantiner"
	"github.com/kingcupstile/kingcupstile/coordination/retrier"
	"github.com/kingcupstile/kingcupstile/state/routing"
)

// Forwarder serves callers' requests as an http.Handler; its methods are safe for concurrent use.
type Forwarder struct {
	snapshot   func() overseer.State
	clock      kingcupstile.Clock
	dialect    kingcupstile.Dialect
	tracker    *placer.Tracker
	prober     kingcupstile.Prober
	cold       coldRunners
	retrier    kingcupstile.Retrier
	retryShare float64
	log        *slog.Logger
	scope      tally.Scope
	report     func(overseer.Event)
	trials     *quarantiner.Trials
	// estimates holds how long runners take.
	estimates *estimator.Book
	// unanswered holds the attempts that a runner has not begun to answer, as keys of type *call.
	unanswered sync.Map
	// waiting holds the requests that wait before they look for a runner, as keys of type *wait.
	waiting sync.Map
	// gates holds the *pacer.Gate of each service by its name.
	gates sync.Map
	// outages holds the *breaker.Switch of each service by its name.
	outages sync.Map
	// transfer is the cost of a megabyte between data centres, in milliseconds for which one caller may wait instead, 0 where fixed
	// weights decide; localizers holds what decides otherwise.
	transfer   float64
	localizers *localizer.Book
	// budgeter bounds what requests and answers take together.
	budgeter *budgeter.Budgeter
	inFlight atomic.Int64
	// leaveBy is when the process ends at the latest, on the clock, 0 while it is not about to.
	leaveBy atomic.Int64
	// refusing ends when every request is refused of which nothing was sent yet, and ending when all that are left end.
	refusing, ending       context.Context //nolint:containedctx // they are states of the forwarder, which requests wait for
	refuseAll, endRequests context.CancelFunc
}

// Option sets a field of a Forwarder under construction.
type Option func(*Forwarder)

// Log sets the logger.
func Log(l *slog.Logger) Option { return func(f *Forwarder) { f.log = l } }

// Metrics sets where metrics are reported.
func Metrics(s tally.Scope) Option { return func(f *Forwarder) { f.scope = s } }

// Retries sets the retry budget, and which share of a service's requests may be retries.
func Retries(r kingcupstile.Retrier, share float64) Option {
	return func(f *Forwarder) { f.retrier, f.retryShare = r, share }
}

// Tracker sets where requests in flight and failures of runners are counted.
func Tracker(t *placer.Tracker) Option { return func(f *Forwarder) { f.tracker = t } }

// Probes sets what asks for the load of runners before requests are sent to them, where entries are many.
func Probes(p kingcupstile.Prober) Option { return func(f *Forwarder) { f.prober = p } }

// Transfer sets the cost of a megabyte between data centres, in milliseconds for which one caller may wait instead. At 0, fixed weights
// decide when requests go to other data centres.
func Transfer(cost float64) Option { return func(f *Forwarder) { f.transfer = cost } }

// Memory sets how many bytes of memory the process may use, of which requests and answers get a part.
func Memory(bytes int64) Option {
	return func(f *Forwarder) { f.budgeter = budgeter.New(bytes) }
}

// Report sets the function that is called with the events that requests cause: that a runner was lost, or that parts of
// prompts were answered.
func Report(report func(overseer.Event)) Option {
	return func(f *Forwarder) { f.report = report }
}

// defaultMemory is the process's memory in bytes unless an option says otherwise.
const defaultMemory = 256 << 20

// defaultRetryShare is the share of requests that may be retries unless an option says otherwise.
const defaultRetryShare = 0.1

// New returns a forwarder that calls snapshot for the control state in force at each decision.
func New(snapshot func() overseer.State, clock kingcupstile.Clock, dialect kingcupstile.Dialect, options ...Option) *Forwarder {
	f := &Forwarder{
		snapshot: snapshot, clock: clock, dialect: dialect, tracker: placer.NewTracker(), retrier: retrier.New(),
		report: func(overseer.Event) {}, trials: quarantiner.NewTrials(quarantiner.Since(clock.Now())),
		estimates: estimator.NewBook(), retryShare: defaultRetryShare,
		log: slog.New(slog.DiscardHandler), scope: tally.NoopScope, budgeter: budgeter.New(defaultMemory),
		localizers: localizer.NewBook(),
	}
	f.refusing, f.refuseAll = context.WithCancel(context.Background())
	f.ending, f.endRequests = context.WithCancel(context.Background())
	for _, option := range options {
		option(f)
	}
	return f
}

// InFlight returns how many callers' requests are in progress, including those that are being refused.
func (f *Forwarder) InFlight() int { return int(f.inFlight.Load()) }

// LeaveBy makes the forwarder refuse requests that must not be repeated and may take until after a time, at which the process ends.
func (f *Forwarder) LeaveBy(at time.Duration) { f.leaveBy.Store(int64(at)) }

// RefuseNew makes the forwarder refuse requests of which nothing was sent to a runner yet, as the process is about to end.
func (f *Forwarder) RefuseNew() { f.refuseAll() }

// EndRequests makes the forwarder answer the requests that are left at once, as the process ends.
func (f *Forwarder) EndRequests() { f.endRequests() }

// leavingRefusal returns the refusal of a request that the process would cut off as it ends, nil if it may be sent to a runner now;
// timeout is how long it may take.
func (f *Forwarder) leavingRefusal(r routing.Route, now, timeout time.Duration) *refusal {
	end := time.Duration(f.leaveBy.Load())
	if f.refusing.Err() == nil && (end == 0 || r.IsRepeatable() || now+timeout <= end) {
		return nil
	}
	return newBriefRefusal(reasonLeaving, minRetryAfter)
}

// gate returns a service's admission gate, after adjusting its bounds to the ready runners and the number of live
// entries.
func (f *Forwarder) gate(service string, state overseer.State, now time.Duration, gap time.Duration) *pacer.Gate {
	table, _ := state.Table()
	s, _ := table.Service(service)
	entries := len(state.Heartbeats(now)) + 1
	runners := state.Usable(service)
	bounds := pacer.BoundsFor(s, runners, entries, gap)
	if f.IsProbed(state, service, entries) {
		bounds = pacer.Unbounded(s, runners, gap)
	}
	value, found := f.gates.Load(service)
	if !found {
		value, _ = f.gates.LoadOrStore(service, pacer.NewGate(pacer.New(bounds)))
	}
	g := value.(*pacer.Gate)
	g.SetBounds(bounds)
	return g
}

// refusal is an error answer that the entry itself gives to a caller.
type refusal struct {
	status int
	reason string
	// retryAfter is the value of the Retry-After header; at 0 the header is left out, as a retry would not help.
	retryAfter time.Duration
	// isBrief is whether the reason may pass at any moment, so that the caller is to return while it has time.
	isBrief bool
	// logArgs are further keys and values for the log line.
	logArgs []any
}

// newBriefRefusal returns the refusal of a request that may be served at any moment.
func newBriefRefusal(reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter, isBrief: true}
}

// refuse writes a refusal to a caller that has some time left, 0 if that is not known, and counts it.
func (f *Forwarder) refuse(w http.ResponseWriter, r refusal, left time.Duration) {
	h := w.Header()
	if r.isBrief && left > 0 {
		r.retryAfter = min(r.retryAfter, f.dialect.LatestReturn(left))
	}
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Truncate(time.Millisecond).Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(r.reason)+1))
	w.WriteHeader(r.status)
	if _, err := w.Write([]byte(r.reason + "\n")); err != nil {
		f.log.Debug("caller connection lost while writing an error answer; request ended", "error", err)
	}
	f.scope.Tagged(map[string]string{"reason": r.reason, "status": strconv.Itoa(r.status)}).Counter("refused").Inc(1)
}
