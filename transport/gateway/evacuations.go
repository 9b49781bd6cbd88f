package gateway

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/follower"
	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/sourcer"
	"github.com/kingcupstile/kingcupstile/state/evacuation"
	"github.com/kingcupstile/kingcupstile/state/listing"
)

// evacuationWatchShare limits a watch by a relay to a share of the time in which it must have stopped sending to a drained data centre. A
// watch that hangs is given up a little later, and the listing that follows may take two seconds.
const evacuationWatchShare = 0.3

// evacuationTime returns the time in which the entry must have stopped sending to a drained data centre, 0 if it does not read which are.
func (g *Gateway) evacuationTime() time.Duration {
	if g.platform.Evacuations == nil {
		return 0
	}
	return g.settings.EvacuationTime
}

// followEvacuations begins to read which data centres are drained, until ctx ends.
func (g *Gateway) followEvacuations(ctx context.Context) {
	feed := sourcer.New(g.platform.Evacuations, nearby(g, func(c Copies) kingcupstile.Feed[evacuation.Evacuation] { return c.Evacuations }))
	g.evacuations = follower.New(feed, g.platform.Clock, evacuationSink{g},
		follower.WatchWait[evacuation.Evacuation](g.evacuationsWait), follower.Linked[evacuation.Evacuation](g.isLinked))
	go g.evacuations.Run(ctx)
}

// evacuationsWait returns how long the next watch of drained data centres may wait.
func (g *Gateway) evacuationsWait() time.Duration {
	if g.loop.Snapshot().IsRelay(g.platform.Clock.Now()) {
		return min(longWatchWait, time.Duration(evacuationWatchShare*float64(g.evacuationTime())))
	}
	return longWatchWait
}

// recordEvacuated reports a drain, and has the requests be refused that wait for runners which they must not reach.
func (g *Gateway) recordEvacuated(e overseer.Evacuated) {
	g.scope.Tagged(map[string]string{"centre": e.Centre}).Gauge("drained").Update(gaugeOf(!e.Ended))
	go g.forwarder.RefuseClosed()
}

// evacuationSink passes the drained data centres that a follower reads to the control goroutine.
type evacuationSink struct{ *Gateway }

// Listed passes on all drained data centres.
func (s evacuationSink) Listed(l listing.Listing[evacuation.Evacuation], asked time.Duration) {
	if l.Unconfirmed {
		asked = 0
	}
	s.send(overseer.EvacuationsListed{
		Evacuations: l.Items, Position: l.Position, Unconfirmed: l.Unconfirmed, RequestedAt: asked, At: s.platform.Clock.Now(),
	})
}

// Changed passes on what changed.
func (s evacuationSink) Changed(c listing.Changes[evacuation.Evacuation], asked time.Duration) {
	if c.Unconfirmed {
		asked = 0
	}
	s.send(overseer.EvacuationsChanged{Changes: c.Items, Position: c.Position, RequestedAt: asked, At: s.platform.Clock.Now()})
}

// Failed logs that the drained data centres could not be read; the follower retries with backoff.
func (s evacuationSink) Failed(err error) {
	s.log.Debug("reading drained data centres from the store failed; known drains stay in force, retrying with backoff", "error", err)
}
