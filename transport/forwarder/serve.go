package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/budgeter"
	"github.com/kingcupstile/kingcupstile/coordination/estimator"
	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/pacer"
	"github.com/kingcupstile/kingcupstile/state/demand"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/routing"
)

const (
	// defaultTimeout bounds a request for which neither route nor caller sets a timeout.
	defaultTimeout = time.Minute
	// longRetryAfter is the retry delay for what takes longer, such as an unreachable store.
	longRetryAfter = 500 * time.Millisecond
)

// Reasons why the entry refuses a request.
const (
	reasonNoConfig = "no-configuration"
	reasonStale    = "configuration-too-old"
	reasonNoRoute  = "no-route"
	reasonKey      = "key"
	reasonLarge    = "body-too-large"
	reasonBody     = "body-unreadable"
	reasonSlow     = "body-too-slow"
	reasonMemory   = "no-memory"
	reasonFull     = "no-room"
	reasonLeaving  = "entry-leaves"
	reasonCrashes  = "request-ends-runners"
	// reasonDown is that the runners, which work together, are down.
	reasonDown = "runners-down"
	// reasonPart is that a part of the prompt may crash runners, and reasonUninformed that this entry, which has just
	// started or was paused, does not know yet whether one does.
	reasonPart       = "part-of-prompt-held-back"
	reasonUninformed = "knowledge-of-crashes-too-old"
	// reasonClosed is that operators drain the data centres of all runners, and reasonUnlisted that this entry does not know yet which
	// they drain.
	reasonClosed   = "data-centres-drained"
	reasonUnlisted = "drained-data-centres-not-known"
)

// access is what the configuration says of a request that it allows.
type access struct {
	route    routing.Route
	account  routing.Account
	version  uint64
	priority int
	// urgency orders requests that wait for room, the most urgent first.
	urgency int
	// maxBody is the largest body in bytes, 0 for no limit.
	maxBody int64
}

// authorize decides by the configuration in force whether a request is allowed. Configuration that is too stale is
// trusted neither for keys nor for the lack of a route.
func authorize(s overseer.State, d demand.Request, now time.Duration) (access, *refusal) {
	table, known := s.Table()
	if !known {
		return access{}, newBriefRefusal(reasonNoConfig, longRetryAfter)
	}
	fresh := s.IsFresh(now)
	route, found := table.Match(d.Host, d.Path)
	if !found && !fresh {
		return access{}, newBriefRefusal(reasonStale, longRetryAfter)
	}
	if !found {
		return access{}, &refusal{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	a := access{
		route: route, version: table.Version(), priority: route.Priority(), urgency: routing.Account{}.Urgency(route),
		maxBody: table.Limits().MaxBodyBytes,
	}
	if !table.NeedsKey(route) {
		return a, nil
	}
	if !fresh {
		return access{}, newBriefRefusal(reasonStale, longRetryAfter)
	}
	account, held := table.Authenticate(d.Key)
	if !held {
		return access{}, &refusal{status: http.StatusUnauthorized, reason: reasonKey}
	}
	a.account, a.priority, a.urgency = account, account.Priority(route), account.Urgency(route)
	return a, nil
}

// ServeHTTP forwards one caller's request to a runner, or refuses it.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	arrived := f.clock.Now()
	d := f.dialect.ParseRequest(r)
	state := f.snapshot()
	if state.IsLeaving() {
		w.Header().Set("Connection", "close")
	}
	if f.refusing.Err() != nil {
		f.logAndRefuse(w, d, *newBriefRefusal(reasonLeaving, minRetryAfter), d.Timeout)
		return
	}
	a, denied := authorize(state, d, arrived)
	if denied != nil {
		f.logAndRefuse(w, d, *denied, d.Timeout)
		return
	}
	f.serveAllowed(w, r, d, a, arrived)
}

// serveAllowed reads the body of a request that the configuration allows, and forwards or refuses the request.
func (f *Forwarder) serveAllowed(w http.ResponseWriter, r *http.Request, d demand.Request, a access, arrived time.Duration) {
	timeout := timeoutFor(a, d)
	reservation := f.budgeter.Begin()
	defer reservation.Release()
	var body []byte
	denied := f.leavingRefusal(a.route, arrived, timeout)
	if denied == nil {
		body, denied = f.readBody(w, r, a.maxBody, timeout, reservation)
	}
	if denied != nil {
		w.Header().Set("Connection", "close")
		f.logAndRefuse(w, d, *denied, timeout-(f.clock.Now()-arrived))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout-(f.clock.Now()-arrived))
	defer cancel()
	defer context.AfterFunc(f.ending, cancel)()
	service, found := a.route.Service(rand.Float64())
	if !found {
		f.logAndRefuse(w, d, *newBriefRefusal(reasonNoRoute, longRetryAfter), timeout)
		return
	}
	x := &exchange{
		forwarder: f, httpRequest: r, request: d, access: a, body: body, reservation: reservation, service: service,
		arrivedAt: arrived, timeout: timeout,
		kind:       estimator.Kind{Service: service, IsStream: a.route.IsStream()},
		promptTime: f.promptTime(service, d.PromptTokens),
		writer:     newWriter(w, r), parts: identifyParts(service, d),
	}
	defer x.leaveTrial()
	if denied := x.awaitOpen(ctx); denied != nil {
		f.logAndRefuse(w, d, *denied, x.left())
		return
	}
	if denied := x.checkOutage(); denied != nil {
		f.trials.RecordFailed(service, f.clock.Now())
		f.logAndRefuse(w, d, *denied, x.left())
		return
	}
	if denied := x.awaitScreened(ctx); denied != nil {
		f.logAndRefuse(w, d, *denied, x.left())
		return
	}
	leave, denied := x.enter(ctx)
	if denied != nil {
		f.logAndRefuse(w, d, *denied, x.left())
		return
	}
	defer leave()
	f.retrier.RecordRequest(service, f.retryShare)
	x.run(ctx)
}

// enter waits until the gate of the service admits the request, for as long as it can still be served, or returns why it is refused;
// leave must be called when the request is over.
func (x *exchange) enter(ctx context.Context) (leave func(), denied *refusal) {
	f, now := x.forwarder, x.forwarder.clock.Now()
	x.gate = f.gate(x.service, f.snapshot(), now, x.access.route.MaxEventGap())
	waiting, stop := f.untilRefusing(ctx)
	defer stop()
	waiting, forget := x.untilClosed(waiting)
	defer forget()
	leave, entered := x.gate.Acquire(waiting, pacer.Request{
		Priority: x.access.urgency, At: now, LatestStart: x.latestStart(), Duration: f.estimates.Work(x.kind).Whole.Mean(),
	})
	if entered {
		return leave, nil
	}
	if denied := x.leaving(); denied != nil {
		return nil, denied
	}
	if denied := x.checkClosed(); denied != nil {
		return nil, denied
	}
	pace := x.gate.Pace()
	return nil, &refusal{
		status: http.StatusServiceUnavailable, reason: reasonFull, retryAfter: x.returnAfter(x.roomIn()),
		logArgs: []any{"service", x.service, "open", pace.Open(), "limit", pace.Limit(), "pause", pace.MeanGap(), "waiting", x.gate.Waiting()},
	}
}

// timeoutFor returns how long a request may take: as its route and its caller say, whichever is shorter.
func timeoutFor(a access, d demand.Request) time.Duration {
	timeout := a.route.Timeout()
	if d.Timeout > 0 && (timeout == 0 || d.Timeout < timeout) {
		timeout = d.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return timeout
}

// logAndRefuse refuses a request of which nothing was sent to a runner, to a caller that has some time left, 0 if that is not known.
func (f *Forwarder) logAndRefuse(w http.ResponseWriter, d demand.Request, r refusal, left time.Duration) {
	state := f.snapshot()
	table, _ := state.Table()
	f.log.Info("request refused; nothing was sent to a runner", append([]any{
		"request", d.ID, "status", r.status, "reason", r.reason, "version", table.Version(), "age", state.Age(f.clock.Now()),
	}, r.logArgs...)...)
	f.refuse(w, r, left)
}

// readBody reads a request's body, of at most maxBytes or else the default, within the timeout and into a reservation, or returns
// why it is refused; one that is still arriving when all new requests are refused is refused then.
func (f *Forwarder) readBody(
	w http.ResponseWriter, r *http.Request, maxBytes int64, timeout time.Duration, reservation *budgeter.Reservation,
) ([]byte, *refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if maxBytes <= 0 {
		maxBytes = routing.DefaultMaxBodyBytes
	}
	control := http.NewResponseController(w)
	// Connections that take no deadline are those of tests, whose bodies are in memory.
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	interrupted := make(chan struct{})
	stop := context.AfterFunc(f.refusing, func() {
		_ = control.SetReadDeadline(time.Now())
		close(interrupted)
	})
	body, err := reservation.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, maxBytes)
	if !stop() {
		// The deadline must not be set after the body was read.
		<-interrupted
	}
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), fault.KindOf[budgeter.Kind](err) == budgeter.KindTooLarge:
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonLarge}
	case fault.KindOf[budgeter.Kind](err) == budgeter.KindFull:
		return nil, newBriefRefusal(reasonMemory, jittered(minRetryAfter))
	case err != nil && f.refusing.Err() != nil:
		return nil, newBriefRefusal(reasonLeaving, minRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &refusal{status: http.StatusRequestTimeout, reason: reasonSlow}
	case err != nil:
		return nil, &refusal{status: http.StatusBadRequest, reason: reasonBody}
	}
	return body, nil
}
