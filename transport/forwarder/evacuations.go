package forwarder

import (
	"context"
	"net/http"

	"github.com/kingcupstile/kingcupstile/coordination/dispatcher"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// maySend reports whether requests may be sent to a runner now, as far as that depends on its data centre.
func (f *Forwarder) maySend(r runner.Runner) bool { return f.snapshot().MaySend(r, f.clock.Now()) }

// handleWithheld returns the event of an attempt that was not written, as operators drained its runner's data centre after it was chosen.
func (c *call) handleWithheld() dispatcher.Event {
	x := c.exchange
	x.lastFailure = "not sent: the data centre of runner " + c.runner.ID() + " was drained after the runner was chosen"
	x.forwarder.scope.Tagged(map[string]string{"service": x.service}).Counter("withheld").Inc(1)
	return dispatcher.SendWithheld{}
}

// awaitOpen waits while it is not known which data centres operators drain, for as long as the request can still be served, and then does
// as checkClosed.
func (x *exchange) awaitOpen(ctx context.Context) *refusal {
	f := x.forwarder
	waiting, stop := f.untilRefusing(ctx)
	defer stop()
	for {
		denied := x.checkClosed()
		isInTime := f.clock.Now()+informInterval < x.latestStart()
		if denied == nil || denied.reason != reasonUnlisted || !isInTime || !pauser.Wait(waiting, informInterval) {
			return denied
		}
	}
}

// checkClosed refuses a request if no runner may get it as operators drain the data centres of all, or if it is not known which they
// drain.
func (x *exchange) checkClosed() *refusal {
	f := x.forwarder
	state, now := f.snapshot(), f.clock.Now()
	switch {
	case !state.IsClosed(x.service, now):
		return nil
	case !state.KnowsEvacuations(now):
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonUnlisted, retryAfter: x.returnAfter(0)}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonClosed, retryAfter: x.returnAfter(longRetryAfter)}
}

// wait is a request that waits before it looks for a runner of a service.
type wait struct {
	service string
	end     context.CancelFunc
}

// untilClosed returns a context that ends with ctx, and when operators drain the data centres of all runners that the request could get.
func (x *exchange) untilClosed(ctx context.Context) (waiting context.Context, forget func()) {
	f := x.forwarder
	if !f.snapshot().ReadsEvacuations() {
		return ctx, func() {}
	}
	waiting, end := context.WithCancel(ctx)
	w := &wait{service: x.service, end: end}
	f.waiting.Store(w, struct{}{})
	// A drain that became known just before is in the state, and RefuseClosed sees the request after a later one.
	if f.snapshot().IsClosed(x.service, f.clock.Now()) {
		end()
	}
	return waiting, func() {
		f.waiting.Delete(w)
		end()
	}
}

// RefuseClosed refuses the waiting requests whose runners are all in drained data centres; it is called after a drain became known.
func (f *Forwarder) RefuseClosed() {
	state, now := f.snapshot(), f.clock.Now()
	f.waiting.Range(func(key, _ any) bool {
		if w := key.(*wait); state.IsClosed(w.service, now) {
			w.end()
		}
		return true
	})
}
