package forwarder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/budgeter"
	"github.com/kingcupstile/kingcupstile/coordination/dispatcher"
	"github.com/kingcupstile/kingcupstile/coordination/estimator"
	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/pacer"
	"github.com/kingcupstile/kingcupstile/coordination/sequencer"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/demand"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// exchange is one caller's request with all attempts to run it.
type exchange struct {
	forwarder   *Forwarder
	httpRequest *http.Request
	request     demand.Request
	access      access
	body        []byte
	// reservation is what the request and its answers take of the memory.
	reservation *budgeter.Reservation
	service     string
	// kind is the kind of request for which it is known how long runners take, and promptTime how long one takes to read the prompt.
	kind       estimator.Kind
	promptTime time.Duration
	gate       *pacer.Gate
	arrivedAt  time.Duration
	// timeout bounds the whole request, counted from arrivedAt.
	timeout  time.Duration
	writer   *writer
	dispatch dispatcher.Dispatch
	runner   runner.Runner
	// call is the current attempt, and standby the one beside it, nil if there is none.
	call, standby *call
	// position is how far the stream was forwarded, and lastEventAt when an event was last received, 0 if there was none.
	position    sequencer.Position
	lastEventAt time.Duration
	// parts are the shared parts of the prompt.
	parts []suspect.Part
	// endTrial ends the trial of parts that are otherwise held back, nil if there is none.
	endTrial func()
	// lostRunner is whether a runner was lost before it began to answer the request.
	lostRunner bool
	// restEnd is when the first runner wants requests again, 0 if one does now.
	restEnd time.Duration
	// identity is the request's fingerprint, empty until it is first needed.
	identity suspect.Fingerprint
	// paidFor is the number of the last attempt that the retry budget allowed.
	paidFor int
	// spill is what is known of the request's way between data centres.
	spill spill
	// denied is the refusal that forbids any further attempt, nil if there is none.
	denied *refusal
	// lastFailure is why the last attempt failed, for the log.
	lastFailure string
}

// run carries out the dispatcher's actions until the caller has a whole answer, an error or a closed connection.
func (x *exchange) run(ctx context.Context) {
	a := attempt.New(x.request.ID, attempt.Service(x.service), attempt.Account(x.access.account.Name()),
		attempt.Repeatable(x.access.route.IsRepeatable()))
	x.dispatch = dispatcher.New(a, dispatcher.MaxAttempts(x.access.route.Attempts()), dispatcher.Direct())
	defer x.closeCalls()
	action := dispatcher.Action{Do: dispatcher.DoSend}
	for {
		var event dispatcher.Event
		switch action.Do {
		case dispatcher.DoSend:
			event = x.send(ctx, action.Reason)
		case dispatcher.DoForward:
			if x.forward(action.Frame) {
				return
			}
			event = x.await(ctx)
		case dispatcher.DoIgnore:
			event = x.await(ctx)
		default:
			x.conclude(ctx, action)
			return
		}
		x.dispatch, action = x.dispatch.WithEvent(x.runner.ID(), event)
	}
}

// closeCalls closes the attempts that are under way.
func (x *exchange) closeCalls() {
	for _, c := range []*call{x.call, x.standby} {
		if c != nil {
			c.close()
		}
	}
	x.call, x.standby = nil, nil
}

// send sends the first attempt, or another one if the configuration and the budget for retries allow it. What allows it
// is checked after a runner was chosen, as that may take a while, or long if the process is paused.
func (x *exchange) send(ctx context.Context, reason string) dispatcher.Event {
	x.closeCalls()
	f := x.forwarder
	if x.denied = x.leaving(); x.denied != nil {
		return dispatcher.SendDenied{Reason: x.denied.reason}
	}
	if x.denied = x.awaitOpen(ctx); x.denied != nil && ctx.Err() == nil {
		return dispatcher.SendDenied{Reason: x.denied.reason}
	}
	if x.denied = x.awaitOutage(ctx); x.denied != nil && ctx.Err() == nil {
		return dispatcher.SendDenied{Reason: x.denied.reason}
	}
	waiting, stop := ctx, func() {}
	if !x.dispatch.MayHaveRun() {
		waiting, stop = f.untilRefusing(ctx)
	}
	chosen, room := x.place(waiting, x.latestStart())
	stop()
	now, remaining := f.clock.Now(), x.left()
	if x.denied = x.denialAfter(ctx, room); x.denied != nil {
		return dispatcher.SendDenied{Reason: x.denied.reason}
	}
	switch {
	case ctx.Err() != nil || remaining <= 0:
		return dispatcher.DeadlineExceeded{}
	case room == roomNone:
		return dispatcher.NoEndpointLeft{}
	case room == roomFull:
		retryAfter := x.returnAfter(x.roomIn())
		if rest := x.restEnd - now; rest > retryAfter {
			// The runners have said until when they want nothing, so that an earlier return is in vain.
			retryAfter = jittered(rest)
		}
		x.denied = &refusal{status: http.StatusServiceUnavailable, reason: reasonFull, retryAfter: retryAfter}
		return dispatcher.SendDenied{Reason: reasonFull}
	}
	if x.dispatch.Number() > 1 {
		if !x.isAllowed(x.dispatch.Number(), reason) {
			return dispatcher.SendDenied{Reason: reason}
		}
		f.log.Info("retrying request at another runner", "request", x.request.ID, "attempt", x.dispatch.Number(), "reason", reason,
			"runner", chosen.ID(), "event", x.position.String())
	}
	x.runner = chosen
	x.call = newCall(ctx, x, chosen, remaining)
	x.call.start()
	return x.await(ctx)
}

// isAllowed reports whether the retry budget allows the attempt with a number. An attempt that was withheld before is paid for.
func (x *exchange) isAllowed(number int, reason string) bool {
	if x.paidFor != number && !x.forwarder.retrier.Allow(x.service, reason) {
		return false
	}
	x.paidFor = number
	return true
}

// denialAfter returns why the request must not be sent to a runner after one was looked for, nil if it may.
func (x *exchange) denialAfter(ctx context.Context, found room) *refusal {
	if denied := x.denial(x.forwarder.snapshot(), x.forwarder.clock.Now()); denied != nil {
		return denied
	}
	if denied := x.leaving(); denied != nil || found == roomFound || ctx.Err() != nil {
		return denied
	}
	return x.checkClosed()
}

// leaving returns the refusal of the next attempt if the process would cut it off as it ends, nil if it may be sent. What may have run
// goes on, as its caller cannot be told that it has not.
func (x *exchange) leaving() *refusal {
	if x.dispatch.MayHaveRun() {
		return nil
	}
	return x.forwarder.leavingRefusal(x.access.route, x.forwarder.clock.Now(), x.left())
}

// denial returns why the request must not be sent to a runner now, nil if it may.
func (x *exchange) denial(state overseer.State, now time.Duration) *refusal {
	if _, denied := authorize(state, x.request, now); denied != nil {
		return denied
	}
	if state.HasCrashes() {
		if until, refused := state.RefusedUntil(x.fingerprint()); refused {
			return &refusal{status: http.StatusServiceUnavailable, reason: reasonCrashes, retryAfter: until - now}
		}
	}
	return x.screen(state, now)
}

// fingerprint identifies requests of one account to one service with the same method, target and body.
func (x *exchange) fingerprint() suspect.Fingerprint {
	if x.identity == "" {
		x.identity = suspect.Identify(x.service+" "+x.access.account.Name(), x.httpRequest.Method, x.httpRequest.RequestURI, x.body)
	}
	return x.identity
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// loggedParts returns the parts of the prompt that other requests may share, as logs show them.
func (x *exchange) loggedParts() []string {
	parts := x.request.SharedParts()
	return parts[:min(len(parts), maxLoggedParts)]
}

// forward writes a frame to the caller and reports whether the exchange is over: the answer is complete or the caller
// is gone.
func (x *exchange) forward(f attempt.Frame) bool {
	x.recordSpilled(f)
	if f.IsLast() {
		x.forwarder.tracker.ClearFailures(x.runner.ID())
		if isSuccess(x.writer.status) {
			x.recordWhole()
		}
		x.count("ran")
		return true
	}
	if err := x.writer.write(f); err != nil {
		x.forwarder.log.Debug("caller connection lost while writing the answer; request ended", "request", x.request.ID, "error", err)
		x.count("caller-lost")
		return true
	}
	return false
}

// conclude ends a request without a whole answer: with an error status, or by closing the connection if the answer had
// begun.
func (x *exchange) conclude(ctx context.Context, action dispatcher.Action) {
	x.closeCalls()
	if x.denied == nil || !slices.Contains([]string{reasonPart, reasonClosed, reasonUnlisted}, x.denied.reason) {
		x.forwarder.trials.RecordFailed(x.service, x.forwarder.clock.Now())
	}
	r := refusal{status: http.StatusBadGateway, reason: action.Reason}
	switch {
	case x.denied != nil && action.Outcome == attempt.OutcomeNotRun:
		r = *x.denied
	case action.Outcome == attempt.OutcomeNotRun:
		r.status, r.retryAfter = http.StatusServiceUnavailable, x.returnAfter(0)
	case action.Reason == dispatcher.ReasonTimeout:
		r.status = http.StatusGatewayTimeout
	}
	callerLeft := context.Cause(x.httpRequest.Context()) != nil
	x.forwarder.log.Info("request failed; caller gets an error status, or a closed connection if the answer had begun",
		"request", x.request.ID, "outcome", action.Outcome, "reason", action.Reason,
		"status", r.status, "runner", x.runner.ID(), "attempts", x.dispatch.Number(), "event", x.position.String(), "version", x.access.version,
		"ms", (x.forwarder.clock.Now() - x.arrivedAt).Milliseconds(), "caller_left", callerLeft, "expired", ctx.Err() != nil,
		"detail", x.lastFailure, "retry_ms", r.retryAfter.Milliseconds())
	x.count(action.Reason)
	if x.writer.status > 0 {
		x.writer.abort()
		return
	}
	x.forwarder.refuse(x.writer.out, r, x.left())
}

// count reports the metrics of a request that ended with an outcome.
func (x *exchange) count(outcome string) {
	scope := x.forwarder.scope.Tagged(map[string]string{"service": x.service, "outcome": outcome})
	scope.Counter("requests").Inc(1)
	scope.Timer("request").Record(x.forwarder.clock.Now() - x.arrivedAt)
}
