package gateway

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
)

const (
	// acceptShare is the share of the grace period in which a draining entry still accepts requests, from callers that
	// have not yet looked up again which entries to use.
	acceptShare = 0.25
	// cutoffShare is the share of the grace period after which the process ends even if requests are in progress.
	cutoffShare = 0.94
	// idlePeriod is how long the entry must be without requests in progress to end before the cut-off.
	idlePeriod   = 300 * time.Millisecond
	pollInterval = 50 * time.Millisecond
)

// drain makes the entry not ready and goes on accepting requests for a while, then refuses new ones; requests that must not be
// repeated are refused as soon as they may not end before the cut-off. It returns once no request is in progress, or at the
// cut-off.
func (g *Gateway) drain(ctx context.Context) {
	start := time.Now()
	acceptFor := time.Duration(acceptShare * float64(g.settings.Grace))
	cutoff := time.Duration(cutoffShare * float64(g.settings.Grace))
	g.forwarder.LeaveBy(g.platform.Clock.Now() + cutoff)
	g.send(overseer.Leave{})
	lastBusy := start
	for pauser.Wait(ctx, pollInterval) {
		elapsed := time.Since(start)
		if elapsed >= acceptFor {
			g.forwarder.RefuseNew()
		}
		if g.forwarder.InFlight() > 0 {
			lastBusy = time.Now()
		}
		if elapsed >= cutoff || elapsed >= acceptFor && time.Since(lastBusy) >= idlePeriod {
			break
		}
	}
	g.forwarder.RefuseNew()
	g.forwarder.EndRequests()
	g.log.Info("draining ended; the process ends and answers requests still in progress with an error, or cuts their answers",
		"in_progress", g.forwarder.InFlight(), "after", time.Since(start))
}
