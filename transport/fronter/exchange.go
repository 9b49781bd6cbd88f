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

// details holds the detail sentence of the problem for each reason.
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

// reasonWithdrawn ends an answer whose account lost access to the service while it streamed.
const reasonWithdrawn = "withdrawn"

// statuses holds the HTTP statuses of reasons; any other reason gets 503 if the request did not run, and 502 otherwise.
var statuses = map[string]int{
	attempt.ReasonAnswerGone:      http.StatusGone,
	attempt.ReasonOffsetBeyondEnd: http.StatusRequestedRangeNotSatisfiable,
	attempt.ReasonOtherOwner:      http.StatusNotFound,
	string(ledger.KindForgotten):  http.StatusGone,
	string(ledger.KindMismatch):   http.StatusUnprocessableEntity,
	dispatcher.ReasonTimeout:      http.StatusGatewayTimeout,
	reasonWithdrawn:               http.StatusForbidden,
}

// exchange takes one caller's request through its attempts at endpoints.
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
	// correlation identifies the request in the logs of all processes.
	correlation string
	// bound is set when the request's key, or the answer that it resumes, fixes the endpoint.
	bound   bool
	resumed bool
	// affinity is equal for requests that gain from the same endpoint, 0 for none.
	affinity uint64
	// endpointLost is set when the stream of an attempt that may have been written fails, or when the runner fails in
	// the middle of its answer. A later frame clears it, unless the frame says that the endpoint has restarted.
	endpointLost bool
	// identify returns the fingerprint under which crashes of the request are recorded.
	identify func() suspect.Fingerprint
	// retryAfter is the pause before a resend that the last frame asked for, 0 for none.
	retryAfter time.Duration
}

func (f *Fronter) exchange(c echo.Context, a access) *exchange {
	id := correlationID(c)
	c.Response().Header().Set(HeaderCorrelation, id)
	return &exchange{
		fronter: f, context: c, access: a, writer: newWriter(c), started: time.Now(), release: func() {}, correlation: id,
		log: f.log.With("correlation", id, "service", a.service.Name(), "account", a.grant.Account()),
	}
}

// run carries out the dispatcher's actions until the request has ended.
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
			event = x.sendWithinBudget(ctx, action.Reason)
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
			event = x.nextEvent(ctx)
		case dispatcher.DoIgnore:
			event = x.nextEvent(ctx)
		case dispatcher.DoConclude:
			return x.conclude(action)
		}
		x.dispatch, action = x.dispatch.WithEvent(x.attempt.Endpoint(), event)
	}
}

// close closes the stream, if any, and no longer counts the attempt as open at its endpoint.
func (x *exchange) close() {
	if x.stream != nil {
		_ = x.stream.Close()
		x.stream = nil
	}
	x.release()
}

// sendWithinBudget sends the first attempt, or a further one if the service's retry budget allows it. A request whose
// endpoint was lost is not sent again, since the request may have crashed the endpoint.
func (x *exchange) sendWithinBudget(ctx context.Context, reason string) dispatcher.Event {
	if x.dispatch.Number() == x.attempt.Number() {
		return x.send(ctx)
	}
	if x.endpointLost || !x.fronter.retrier.Allow(x.access.service.Name(), reason) {
		x.fronter.scope.Counter("retries_denied").Inc(1)
		return dispatcher.SendDenied{Reason: reason}
	}
	x.fronter.scope.Counter("retries").Inc(1)
	return x.send(ctx)
}

// send sends the next attempt to the endpoint that the request's key is bound to, or else to one that it picks.
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
	return x.openStream(ctx, func() (kingcupstile.FrameReader, error) { return x.fronter.link.Run(ctx, x.attempt) })
}

// pick chooses the endpoint of the next attempt; a request suspected of crashing endpoints goes to the endpoint on
// which its pool runs such requests alone.
func (x *exchange) pick() (roster.Endpoint, bool) {
	name := x.access.service.Pool()
	pool := x.fronter.snapshot().Pool(name)
	if x.attempt.IsAlone() {
		return suspecter.IsolationEndpoint(pool, name, x.dispatch.Avoid())
	}
	return x.fronter.picker.Pick(pool, x.affinity, x.dispatch.Avoid())
}

// resume opens another stream of the live attempt's answer, from the frame at offset on.
func (x *exchange) resume(ctx context.Context, offset uint64) dispatcher.Event {
	if x.stream != nil {
		_ = x.stream.Close()
		x.stream = nil
	}
	x.fronter.scope.Counter("resumed").Inc(1)
	return x.openStream(ctx, func() (kingcupstile.FrameReader, error) { return x.fronter.link.Resume(ctx, x.attempt, offset) })
}

// openStream opens a stream and returns the event of its first frame or of its failure.
func (x *exchange) openStream(ctx context.Context, open func() (kingcupstile.FrameReader, error)) dispatcher.Event {
	stream, err := open()
	if err != nil {
		return x.streamFailed(ctx, err, fault.KindOf[kingcupstile.Kind](err) != kingcupstile.KindUnavailable)
	}
	x.stream = stream
	return x.nextEvent(ctx)
}

// nextEvent waits for the next frame of the open stream.
func (x *exchange) nextEvent(ctx context.Context) dispatcher.Event {
	f, err := x.stream.Next(ctx)
	if err != nil {
		return x.streamFailed(ctx, err, true)
	}
	x.recordResult(f)
	x.retryAfter = time.Duration(f.RetryAfter()) * time.Millisecond
	x.endpointLost = x.endpointLost && f.Reason() == string(ledger.KindOtherIncarnation) || isEngineFailure(f)
	return dispatcher.FrameReceived{Frame: f}
}

// recordResult counts a last frame as a success of the endpoint if the request ran, and as a failure otherwise.
func (x *exchange) recordResult(f attempt.Frame) {
	switch {
	case !f.IsLast():
	case f.Outcome() == attempt.OutcomeRan:
		x.fronter.inFlight.Succeed(x.attempt.Endpoint())
	default:
		x.fronter.inFlight.Fail(x.attempt.Endpoint())
	}
}

// streamFailed returns the event of a stream that failed; sent says that the attempt may have been written.
func (x *exchange) streamFailed(ctx context.Context, err error, sent bool) dispatcher.Event {
	if ctx.Err() != nil {
		return dispatcher.DeadlineExceeded{Sent: sent}
	}
	x.fronter.inFlight.Fail(x.attempt.Endpoint())
	x.endpointLost = x.endpointLost || sent
	x.log.Info("stream from endpoint failed before its last frame; recovering or concluding the request",
		"request", x.attempt.Request(), "endpoint", x.attempt.Endpoint(), "error", err)
	return dispatcher.ConnectionFailed{Sent: sent}
}

func (x *exchange) settle(ctx context.Context) dispatcher.Event {
	outcome, err := x.fronter.link.Settle(ctx, x.attempt)
	return dispatcher.SettleResult{Outcome: outcome, NoReply: err != nil}
}

// forward writes a frame to the caller and reports whether the exchange is over: the answer is complete or the caller
// is gone.
func (x *exchange) forward(f attempt.Frame) bool {
	if f.IsLast() {
		x.clearSuspect()
		x.writer.finish(attempt.OutcomeRan)
		x.recordOutcome(attempt.OutcomeRan)
		return true
	}
	position := translator.Position{
		Endpoint: x.attempt.Endpoint(), Incarnation: x.attempt.Incarnation(),
		Request: x.attempt.Request(), Number: x.attempt.Number(),
	}
	if x.resumed && !x.writer.started {
		x.writer.beginEvents()
	}
	if err := x.writer.write(f, position, !x.stream.HasBuffered()); err != nil {
		x.log.Info("write to caller failed; closing the stream from the endpoint", "request", x.attempt.Request(), "error", err)
		return true
	}
	return false
}

// conclude tells the caller why it gets no complete answer.
func (x *exchange) conclude(action dispatcher.Action) error {
	x.reportCrash()
	x.recordOutcome(action.Outcome)
	x.log.Warn("request ended without a complete answer; reporting the reason to the caller",
		"request", x.attempt.Request(), "outcome", action.Outcome, "reason", action.Reason)
	p := problem(status(action), action.Outcome, action.Reason).WithRequest(x.attempt.Request())
	if x.writer.started {
		return x.writer.abort(p)
	}
	return x.fronter.fail(x.context, p, max(x.retryAfter, time.Second))
}

// recordOutcome reports the outcome of the request to the metrics and the log.
func (x *exchange) recordOutcome(outcome attempt.Outcome) {
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
