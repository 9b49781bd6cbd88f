package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/dispatcher"
	"github.com/kingcupstile/kingcupstile/coordination/pacer"
	"github.com/kingcupstile/kingcupstile/coordination/placer"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/demand"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// exchange is one request on its way between a caller and runners.
type exchange struct {
	forwarder *Forwarder
	request   *http.Request
	demand    demand.Demand
	access    access
	body      []byte
	service   string
	gate      *pacer.Gate
	arrived   time.Duration
	bound     time.Duration
	writer    *writer
	dispatch  dispatcher.Dispatch
	runner    runner.Runner
	live      *live
	// last is the number of the last event that was forwarded, 0 if there was none.
	last int64
	// denied is why the request must not be sent any more.
	denied *refusal
	reason string
}

// run carries out actions until the request is concluded.
func (x *exchange) run(ctx context.Context) {
	a := attempt.New(x.demand.ID, attempt.Service(x.service), attempt.Account(x.access.account.Name()),
		attempt.Repeatable(x.access.route.IsRepeatable()))
	x.dispatch = dispatcher.New(a, dispatcher.MaxAttempts(x.access.route.Attempts()), dispatcher.Direct())
	defer x.end()
	action := dispatcher.Action{Do: dispatcher.DoSend}
	for {
		var event dispatcher.Event
		switch action.Do {
		case dispatcher.DoSend:
			event = x.sendAllowed(ctx, action.Reason)
		case dispatcher.DoForward:
			if x.forward(action.Frame) {
				return
			}
			event = x.live.next(ctx)
		case dispatcher.DoIgnore:
			event = x.live.next(ctx)
		default:
			x.conclude(ctx, action)
			return
		}
		x.dispatch, action = x.dispatch.WithEvent(x.runner.ID(), event)
	}
}

// end closes the live attempt.
func (x *exchange) end() {
	if x.live != nil {
		x.live.end()
		x.live = nil
	}
}

// sendAllowed sends the first attempt, or another one if the configuration and the budget for retries allow it.
func (x *exchange) sendAllowed(ctx context.Context, reason string) dispatcher.Event {
	x.end()
	f, now := x.forwarder, x.forwarder.clock.Now()
	state := f.snapshot()
	if _, denied := judge(state, x.demand, now); denied != nil {
		x.denied = denied
		return dispatcher.SendDenied{Reason: denied.reason}
	}
	if state.HasCrashes() {
		if until, condemned := state.RefusedUntil(x.fingerprint()); condemned {
			x.denied = &refusal{status: http.StatusServiceUnavailable, reason: reasonCrashes, after: until - now}
			return dispatcher.SendDenied{Reason: reasonCrashes}
		}
	}
	left := x.bound - (now - x.arrived)
	if ctx.Err() != nil || left <= 0 {
		return dispatcher.DeadlineExceeded{}
	}
	if x.dispatch.Number() > 1 && !f.retrier.Allow(x.service, reason) {
		return dispatcher.SendDenied{Reason: reason}
	}
	view := f.board.View(state.Heartbeats(now), now)
	chosen, found := view.Place(state.Runners().Of(x.service), placer.Request{Centre: state.Self().Centre, Avoid: x.dispatch.Avoid()})
	if !found {
		return dispatcher.NoEndpointLeft{}
	}
	if x.dispatch.Number() > 1 {
		f.log.Info("request sent again", "request", x.demand.ID, "attempt", x.dispatch.Number(), "reason", reason,
			"runner", chosen.ID(), "event", x.last)
	}
	x.runner = chosen
	x.live = newLive(x, chosen, left)
	return x.live.open(ctx)
}

// fingerprint identifies the request among those of its account.
func (x *exchange) fingerprint() suspect.Fingerprint {
	return suspect.Identify(x.service+" "+x.access.account.Name(), x.request.Method, x.request.RequestURI, x.body)
}

// forward writes a frame to the caller and reports whether the exchange is over.
func (x *exchange) forward(f attempt.Frame) bool {
	if f.IsLast() {
		x.forwarder.board.ClearFailures(x.runner.ID())
		x.count("ran")
		return true
	}
	if err := x.writer.write(f); err != nil {
		x.forwarder.log.Debug("caller lost", "request", x.demand.ID, "error", err)
		x.count("caller-lost")
		return true
	}
	return false
}

// conclude tells the caller that there is no whole answer.
func (x *exchange) conclude(ctx context.Context, action dispatcher.Action) {
	x.end()
	r := refusal{status: http.StatusBadGateway, reason: action.Reason}
	switch {
	case x.denied != nil && action.Outcome == attempt.OutcomeNotRun:
		r = *x.denied
	case action.Outcome == attempt.OutcomeNotRun:
		r.status, r.after = http.StatusServiceUnavailable, comeBack()
	case action.Reason == dispatcher.ReasonTimeout:
		r.status = http.StatusGatewayTimeout
	}
	left := context.Cause(x.request.Context()) != nil
	x.forwarder.log.Info("request concluded", "request", x.demand.ID, "outcome", action.Outcome, "reason", action.Reason,
		"status", r.status, "runner", x.runner.ID(), "attempts", x.dispatch.Number(), "event", x.last, "version", x.access.version,
		"ms", (x.forwarder.clock.Now() - x.arrived).Milliseconds(), "caller_left", left, "expired", ctx.Err() != nil, "detail", x.reason)
	x.count(action.Reason)
	if x.writer.started {
		x.writer.abort()
		return
	}
	x.forwarder.refuse(x.writer.out, r)
}

// count counts a request by how it ended.
func (x *exchange) count(outcome string) {
	scope := x.forwarder.scope.Tagged(map[string]string{"service": x.service, "outcome": outcome})
	scope.Counter("requests").Inc(1)
	scope.Timer("request").Record(x.forwarder.clock.Now() - x.arrived)
}
