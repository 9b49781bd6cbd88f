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

// watch is the polling of one endpoint.
type watch struct {
	endpoint string
	group    string
	wake     chan struct{}
	end      context.CancelFunc
}

// handle carries out an effect; it runs on the control goroutine and must not block.
func (e *entry) handle(ctx context.Context, effect composer.Effect) {
	switch f := effect.(type) {
	case director.SpreaderEffect:
		e.carrier.Handle(ctx, f.Effect)
	case director.Watch:
		ctx, cancel := context.WithCancel(ctx)
		w := watch{endpoint: f.Endpoint.Name(), group: f.Endpoint.Group(), wake: make(chan struct{}, 1), end: cancel}
		if old, ok := e.watching.Swap(w.endpoint, w); ok {
			old.(watch).end()
		}
		go func() {
			defer cancel()
			e.poll(ctx, w)
		}()
	case director.Unwatch:
		e.inFlight.Remove(f.Endpoint)
		if old, ok := e.watching.LoadAndDelete(f.Endpoint); ok {
			old.(watch).end()
		}
	default:
		e.relay.Handle(ctx, effect)
	}
}

// wake polls an endpoint soon, since an attempt failed there.
func (e *entry) wake(endpoint string) {
	w, ok := e.watching.Load(endpoint)
	if !ok {
		return
	}
	select {
	case w.(watch).wake <- struct{}{}:
	default:
	}
}

// poll brings an endpoint's reports, and the polls that it missed, to the control goroutine.
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
					// A plain service may take long over one call; only ranks advance in steps.
					roster.Stalled(reply.GetStalled() && w.group != ""),
					roster.Running(int(reply.GetRunning()), own),
				),
			})
		}
		wait := poller.NextDelay(e.director().PollInterval(), misses, rand.Float64())
		if misses == 0 && !polled {
			wait, polled = poller.SecondDelay(e.director().PollInterval(), rand.Float64()), true
		}
		going = pauser.Wait(ctx, poller.MinTriggeredInterval) && w.rest(ctx, wait-poller.MinTriggeredInterval)
	}
}

// rest waits for a time or a failed attempt, and reports whether ctx is still going on.
func (w watch) rest(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// fade lets endpoints at which attempts failed be tried again after a while.
func (e *entry) fade(ctx context.Context) {
	for pauser.Wait(ctx, poller.MinInterval) {
		e.watching.Range(func(endpoint, _ any) bool {
			e.inFlight.Decay(endpoint.(string))
			return true
		})
	}
}
