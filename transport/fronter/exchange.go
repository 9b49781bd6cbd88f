package fronter

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/admitter"
	"github.com/kingcupstile/kingcupstile/coordination/dispatcher"
	"github.com/kingcupstile/kingcupstile/coordination/keeper"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/coordination/suspecter"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/ledger"
	"github.com/kingcupstile/kingcupstile/state/roster"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// details say in words what a reason means for the caller.
var details = map[string]string{
	dispatcher.ReasonTimeout:            "the request's deadline passed",
	dispatcher.ReasonUnreachable:        "the endpoint could not be reached",
	dispatcher.ReasonCut:                "the endpoint was lost and whether the request ran could not be learnt",
	dispatcher.ReasonNoEndpoint:         "no endpoint takes new work",
	string(ledger.KindOtherIncarnation): "the endpoint has restarted since the key was bound to it",
	string(ledger.KindForgotten):        "the endpoint no longer remembers the request",
	attempt.ReasonAnswerGone:            "the request ran, but its answer is no longer kept",
	string(ledger.KindMismatch):         "the key was used for another request",
	string(ledger.KindTombstone):        "the request was given up before",
	string(keeper.KindLeaving):          "the endpoint that the key is bound to takes no new work",
	string(admitter.ReasonOverload):     "the endpoint has more work than it can do in time; send the request again after Retry-After",
	string(admitter.ReasonIsolating):    "the endpoint runs a request alone that may have crashed another one",
	attempt.ReasonOffsetBeyondEnd:       "the answer ends before the event",
	attempt.ReasonAnswerTooLarge:        "the request ran, but its answer is larger than what is passed on",
	attempt.ReasonEngineUnreachable:     "the back end could not be reached",
	attempt.ReasonEngineFailed:          "the back end did not finish its answer",
	attempt.ReasonOtherOwner:            "the answer belongs to another client account or service",
	reasonWithdrawn:                     "the configuration no longer gives the service to the account",
	"key-expired":                       "the key is too old for anyone to say whether it ran",
	"claim":                             "the key could not be claimed on the platform; nothing was sent for this call",
}

// reasonWithdrawn ends an answer whose account lost the service while it streamed.
const reasonWithdrawn = "withdrawn"

// statuses are the HTTP statuses of reasons that are not the endpoint's or the entry's own trouble.
var statuses = map[string]int{
	attempt.ReasonAnswerGone:      http.StatusGone,
	attempt.ReasonOffsetBeyondEnd: http.StatusRequestedRangeNotSatisfiable,
	attempt.ReasonOtherOwner:      http.StatusNotFound,
	string(ledger.KindForgotten):  http.StatusGone,
	string(ledger.KindMismatch):   http.StatusUnprocessableEntity,
	dispatcher.ReasonTimeout:      http.StatusGatewayTimeout,
	reasonWithdrawn:               http.StatusForbidden,
}

// exchange is one request on its way between a caller and the endpoints.
type exchange struct {
	fronter  *Fronter
	context  echo.Context
	access   access
	attempt  attempt.Attempt
	dispatch dispatcher.Dispatch
	stream   kingcupstile.FrameReader
	release  func()
	writer   *writer
	log      *slog.Logger
	started  time.Time
	// correlation is the identifier under which the logs of all processes speak of the request.
	correlation string
	bound       bool
	resumed     bool
	affinity    uint64
	// lost says that the live attempt was written and that nothing was heard of it since its stream ended.
	lost bool
	// identify returns the request's fingerprint.
	identify func() suspect.Fingerprint
	// after is when to come back, as the last refusal said.
	after time.Duration
}

func (f *Fronter) exchange(c echo.Context, a access) *exchange {
	id := correlation(c)
	c.Response().Header().Set(HeaderCorrelation, id)
	return &exchange{
		fronter: f, context: c, access: a, writer: newWriter(c), started: time.Now(), release: func() {}, correlation: id,
		log: f.log.With("correlation", id, "service", a.service.Name(), "account", a.grant.Account()),
	}
}

// run carries out actions until the request is concluded.
func (x *exchange) run(action dispatcher.Action) error {
	ctx, cancel := context.WithDeadline(x.context.Request().Context(), x.attempt.Deadline())
	defer cancel()
	defer x.close()
	for {
		var event dispatcher.Event
		if action.Wait > 0 && !pauser.Wait(ctx, action.Wait) {
			x.dispatch, action = x.dispatch.WithEvent(x.attempt.Endpoint(), dispatcher.DeadlineExceeded{})
			continue
		}
		switch action.Do {
		case dispatcher.DoSend:
			event = x.sendAllowed(ctx, action.Reason)
		case dispatcher.DoResume:
			event = x.resume(ctx, action.Offset)
		case dispatcher.DoSettle:
			event = x.settle(ctx)
		case dispatcher.DoForward:
			if x.access.isWithdrawn(x.fronter.snapshot().Catalog()) {
				return x.conclude(dispatcher.Action{Do: dispatcher.DoConclude, Outcome: attempt.OutcomeUnknown, Reason: reasonWithdrawn})
			}
			if x.forward(action.Frame) {
				return nil
			}
			event = x.next(ctx)
		case dispatcher.DoIgnore:
			event = x.next(ctx)
		case dispatcher.DoConclude:
			return x.conclude(action)
		}
		x.dispatch, action = x.dispatch.WithEvent(x.attempt.Endpoint(), event)
	}
}

func (x *exchange) close() {
	if x.stream != nil {
		_ = x.stream.Close()
		x.stream = nil
	}
	x.release()
}

// sendAllowed sends the first attempt, or another one if the service's budget allows it; what ran on an endpoint
// that was lost may be what ended it, and is not sent again.
func (x *exchange) sendAllowed(ctx context.Context, reason string) dispatcher.Event {
	if x.dispatch.Number() == x.attempt.Number() {
		return x.send(ctx)
	}
	if x.lost || !x.fronter.retrier.Allow(x.access.service.Name(), reason) {
		x.fronter.scope.Counter("retries_denied").Inc(1)
		return dispatcher.SendDenied{Reason: reason}
	}
	x.fronter.scope.Counter("retries").Inc(1)
	return x.send(ctx)
}

// send picks an endpoint, unless a key binds the request to one, and sends the next attempt.
func (x *exchange) send(ctx context.Context) dispatcher.Event {
	x.close()
	x.attempt = x.attempt.WithNumber(x.dispatch.Number())
	if !x.bound {
		endpoint, ok := x.pick()
		if !ok {
			return dispatcher.NoEndpointLeft{}
		}
		x.attempt = x.attempt.WithTarget(endpoint.Name(), endpoint.Incarnation())
	}
	x.release = x.fronter.inFlight.Open(x.attempt.Endpoint())
	x.log.Debug("send", "request", x.attempt.Request(), "attempt", x.attempt.Number(), "endpoint", x.attempt.Endpoint())
	return x.opened(ctx, func() (kingcupstile.FrameReader, error) { return x.fronter.link.Run(ctx, x.attempt) })
}

// pick chooses the endpoint of the next attempt; a suspect runs alone on the one that its pool has for them.
func (x *exchange) pick() (roster.Endpoint, bool) {
	name := x.access.service.Pool()
	pool := x.fronter.snapshot().Pool(name)
	if x.attempt.IsAlone() {
		return suspecter.IsolationEndpoint(pool, name, x.dispatch.Avoid())
	}
	return x.fronter.picker.Pick(pool, x.affinity, x.dispatch.Avoid())
}

// resume opens another stream of the live attempt's answer.
func (x *exchange) resume(ctx context.Context, offset uint64) dispatcher.Event {
	if x.stream != nil {
		_ = x.stream.Close()
		x.stream = nil
	}
	x.fronter.scope.Counter("resumed").Inc(1)
	return x.opened(ctx, func() (kingcupstile.FrameReader, error) { return x.fronter.link.Resume(ctx, x.attempt, offset) })
}

func (x *exchange) opened(ctx context.Context, open func() (kingcupstile.FrameReader, error)) dispatcher.Event {
	stream, err := open()
	if err != nil {
		return x.failed(ctx, err, fault.KindOf[kingcupstile.Kind](err) != kingcupstile.KindUnavailable)
	}
	x.stream = stream
	return x.next(ctx)
}

func (x *exchange) next(ctx context.Context) dispatcher.Event {
	f, err := x.stream.Next(ctx)
	if err != nil {
		return x.failed(ctx, err, true)
	}
	x.note(f)
	x.after = time.Duration(f.RetryAfter()) * time.Millisecond
	x.lost = x.lost && f.Reason() == string(ledger.KindOtherIncarnation) || isCrash(f)
	return dispatcher.FrameReceived{Frame: f}
}

// note remembers whether the endpoint answered whole or refused.
func (x *exchange) note(f attempt.Frame) {
	switch {
	case !f.IsLast():
	case f.Outcome() == attempt.OutcomeRan:
		x.fronter.inFlight.Succeed(x.attempt.Endpoint())
	default:
		x.fronter.inFlight.Fail(x.attempt.Endpoint())
	}
}

func (x *exchange) failed(ctx context.Context, err error, sent bool) dispatcher.Event {
	if ctx.Err() != nil {
		return dispatcher.DeadlineExceeded{Sent: sent}
	}
	x.fronter.inFlight.Fail(x.attempt.Endpoint())
	x.lost = x.lost || sent
	x.log.Info("stream lost", "request", x.attempt.Request(), "endpoint", x.attempt.Endpoint(), "error", err)
	return dispatcher.ConnectionFailed{Sent: sent}
}

func (x *exchange) settle(ctx context.Context) dispatcher.Event {
	outcome, err := x.fronter.link.Settle(ctx, x.attempt)
	return dispatcher.SettleResult{Outcome: outcome, NoReply: err != nil}
}

// forward writes a frame to the caller and reports whether the answer is complete.
func (x *exchange) forward(f attempt.Frame) bool {
	if f.IsLast() {
		x.survive()
		x.writer.finish(attempt.OutcomeRan)
		x.count(attempt.OutcomeRan)
		return true
	}
	position := translator.Position{
		Endpoint: x.attempt.Endpoint(), Incarnation: x.attempt.Incarnation(),
		Request: x.attempt.Request(), Number: x.attempt.Number(),
	}
	if x.resumed && !x.writer.started {
		x.writer.event()
	}
	if err := x.writer.write(f, position, !x.stream.HasBuffered()); err != nil {
		x.log.Info("caller lost", "request", x.attempt.Request(), "error", err)
		return true
	}
	return false
}

// conclude tells the caller that there is no whole answer.
func (x *exchange) conclude(action dispatcher.Action) error {
	x.blame()
	x.count(action.Outcome)
	x.log.Warn("request concluded", "request", x.attempt.Request(), "outcome", action.Outcome, "reason", action.Reason)
	p := problem(status(action), action.Outcome, action.Reason).WithRequest(x.attempt.Request())
	if x.writer.started {
		return x.writer.abort(p)
	}
	return x.fronter.fail(x.context, p, max(x.after, time.Second))
}

func (x *exchange) count(outcome attempt.Outcome) {
	scope := x.fronter.scope.Tagged(map[string]string{"service": x.access.service.Name(), "outcome": string(outcome)})
	scope.Counter("requests").Inc(1)
	scope.Timer("request").Record(time.Since(x.started))
	x.log.Info("request", "request", x.attempt.Request(), "outcome", outcome,
		"attempts", x.attempt.Number(), "milliseconds", strconv.FormatInt(time.Since(x.started).Milliseconds(), 10))
}

func status(action dispatcher.Action) int {
	if code, found := statuses[action.Reason]; found {
		return code
	}
	if action.Outcome == attempt.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
