package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/composer"
	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/coordination/poller"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// watch is the polling of one endpoint; a value in wake ends the wait for the next poll, and cancel ends the polling.
type watch struct {
	endpoint string
	group    string
	wake     chan struct{}
	cancel   context.CancelFunc
}

// handle carries out an effect; it runs on the control goroutine and must not block.
func (e *entry) handle(ctx context.Context, effect composer.Effect) {
	switch f := effect.(type) {
	case director.SpreaderEffect:
		e.carrier.Handle(ctx, f.Effect)
	case director.Watch:
		ctx, cancel := context.WithCancel(ctx)
		w := watch{endpoint: f.Endpoint.Name(), group: f.Endpoint.Group(), wake: make(chan struct{}, 1), cancel: cancel}
		if old, ok := e.watches.Swap(w.endpoint, w); ok {
			old.(watch).cancel()
		}
		go func() {
			defer cancel()
			e.poll(ctx, w)
		}()
	case director.Unwatch:
		e.inFlight.Remove(f.Endpoint)
		if old, ok := e.watches.LoadAndDelete(f.Endpoint); ok {
			old.(watch).cancel()
		}
	default:
		e.relay.Handle(ctx, effect)
	}
}

// pollSoon brings the next poll of an endpoint forward, as an attempt failed there; it does not block.
func (e *entry) pollSoon(endpoint string) {
	w, ok := e.watches.Load(endpoint)
	if !ok {
		return
	}
	select {
	case w.(watch).wake <- struct{}{}:
	default:
	}
}

// poll polls an endpoint until ctx ends, and sends its reports and missed polls to the control goroutine. Polls are at
// least poller.MinTriggeredInterval apart.
func (e *entry) poll(ctx context.Context, w watch) {
	misses, polled := 0, false
	going := pauser.Wait(ctx, poller.FirstDelay(e.director().PollInterval(), rand.Float64()))
	for going {
		reply, err := e.dialer.Report(ctx, w.endpoint)
		if err != nil {
			misses++
			_ = e.loop.Send(ctx, director.PollMissed{Endpoint: w.endpoint, At: time.Now()})
		} else {
			misses = 0
			own, _ := e.inFlight.Count(w.endpoint)
			_ = e.loop.Send(ctx, director.ReportReceived{
				Endpoint: w.endpoint,
				Report: roster.NewReport(attempt.Incarnation(reply.GetIncarnation()), time.Now(),
					roster.Leaving(reply.GetLeaving()),
					// Only ranks, which run in groups, advance in steps: another runner may take long over one call
					// without being stalled.
					roster.Stalled(reply.GetStalled() && w.group != ""),
					roster.Running(int(reply.GetRunning()), own),
				),
			})
		}
		wait := poller.NextDelay(e.director().PollInterval(), misses, rand.Float64())
		if misses == 0 && !polled {
			wait, polled = poller.SecondDelay(e.director().PollInterval(), rand.Float64()), true
		}
		going = pauser.Wait(ctx, poller.MinTriggeredInterval) && w.wait(ctx, wait-poller.MinTriggeredInterval)
	}
}

// wait returns after d, at a failed attempt or at the end of ctx, and reports whether ctx has not ended.
func (w watch) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// decayFailures halves the failure count of each endpoint at an interval of poller.MinInterval until ctx ends, so that an
// endpoint at which attempts failed is tried again.
func (e *entry) decayFailures(ctx context.Context) {
	for pauser.Wait(ctx, poller.MinInterval) {
		e.watches.Range(func(endpoint, _ any) bool {
			e.inFlight.Decay(endpoint.(string))
			return true
		})
	}
}
