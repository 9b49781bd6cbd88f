package forwarder

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/breaker"
	"github.com/kingcupstile/kingcupstile/coordination/placer"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

const (
	// watchInterval is the time between two rounds of probes while the runners of a service are down.
	watchInterval = 80 * time.Millisecond
)

// outage returns the breaker of a service whose runners are ranks of groups, and false for any other service.
func (f *Forwarder) outage(service string) (*breaker.Switch, bool) {
	table, _ := f.snapshot().Table()
	s, _ := table.Service(service)
	if !s.Engine().HasExperts() {
		return nil, false
	}
	value, found := f.outages.Load(service)
	if !found {
		value, _ = f.outages.LoadOrStore(service, breaker.NewSwitch())
	}
	return value.(*breaker.Switch), true
}

// recordOutage opens the breaker of a service after a runner of it was lost at a time, and watches until it closes.
func (f *Forwarder) recordOutage(service string, at time.Duration) {
	s, found := f.outage(service)
	if !found || !s.Update(func(b breaker.Breaker) breaker.Breaker { return b.WithLoss(at) }) {
		return
	}
	f.scope.Tagged(map[string]string{"service": service}).Counter("outages").Inc(1)
	f.log.Info("runners may be down; requests wait or are told to return", "service", service)
	go f.watchOutage(service, s)
}

// watchOutage asks the processes beside some runners how these do until the breaker closes.
func (f *Forwarder) watchOutage(service string, s *breaker.Switch) {
	for s.Breaker().IsOpen() {
		loads := f.probeSome(service)
		s.Update(func(b breaker.Breaker) breaker.Breaker { return b.WithLoads(loads, f.clock.Now()) })
		s.Wait(context.Background(), watchInterval)
	}
	f.log.Info("runners advance again", "service", service)
}

// probeSome returns the loads of some runners of a service, of those that are known in time.
func (f *Forwarder) probeSome(service string) []rank.Load {
	if f.prober == nil {
		return nil
	}
	state := f.snapshot()
	sample := placer.Sample(state.Runners().OfService(service), placer.Request{Centre: state.Self().Centre})
	addresses := make([]string, 0, len(sample))
	for _, r := range sample {
		addresses = append(addresses, r.Address())
	}
	return slices.Collect(maps.Values(f.prober.Probe(context.Background(), addresses, probeWait)))
}

// outageRefusal returns the refusal of a request for which the runners will not be back in time.
func (x *exchange) outageRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonDown, retryAfter: x.returnAfter(0)}
}

// outageLeft returns how long the runners are expected to be down, 0 if they are not.
func (x *exchange) outageLeft() time.Duration {
	s, found := x.forwarder.outage(x.service)
	if !found {
		return 0
	}
	if b, now := s.Breaker(), x.forwarder.clock.Now(); b.IsDown(now) {
		return b.Remaining(now)
	}
	return 0
}

// checkOutage refuses a request at once if the runners are down and are not expected back in time to answer it.
func (x *exchange) checkOutage() *refusal {
	if left := x.outageLeft(); left > 0 && x.forwarder.clock.Now()+left > x.latestStart() {
		return x.outageRefusal()
	}
	return nil
}

// awaitOutage waits while the runners are down, for as long as the request can, and returns a refusal if they are not back.
// A stream that was begun waits in any case: ending it would only have the caller return into the outage.
func (x *exchange) awaitOutage(ctx context.Context) *refusal {
	s, found := x.forwarder.outage(x.service)
	if !found {
		return nil
	}
	if denied := x.checkOutage(); denied != nil && !x.position.HasBegun() {
		return denied
	}
	waiting, forget := x.untilClosed(ctx)
	defer forget()
	if s.Wait(waiting, x.latestStart()-x.forwarder.clock.Now()) {
		return nil
	}
	if denied := x.checkClosed(); denied != nil {
		return denied
	}
	return x.outageRefusal()
}

// isDown reports whether the runners of the request's service are down or may be.
func (x *exchange) isDown() bool {
	s, found := x.forwarder.outage(x.service)
	return found && s.Breaker().IsOpen()
}
