package gateway

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
)

const (
	// acceptShare is the share of the grace in which a leaving entry goes on taking requests of callers that have not
	// asked again which entries to use.
	acceptShare = 0.25
	// cutoffShare is the share of the grace after which the process ends whatever is still in progress.
	cutoffShare = 0.94
	// idlePeriod is how long nothing may be in progress before the process ends.
	idlePeriod   = 300 * time.Millisecond
	pollInterval = 50 * time.Millisecond
)

// drain stops being ready, goes on for a while, then refuses new requests and ends once those in progress are over.
func (g *Gateway) drain(ctx context.Context) {
	g.send(overseer.Leave{})
	began := time.Now()
	linger := time.Duration(acceptShare * float64(g.settings.Grace))
	last := time.Duration(cutoffShare * float64(g.settings.Grace))
	quiet := began
	for pauser.Wait(ctx, pollInterval) {
		passed := time.Since(began)
		if passed >= linger {
			g.forwarder.RefuseNew()
		}
		if g.forwarder.InFlight() > 0 {
			quiet = time.Now()
		}
		if passed >= last || passed >= linger && time.Since(quiet) >= idlePeriod {
			break
		}
	}
	g.log.Info("entry ends", "in_progress", g.forwarder.InFlight(), "after", time.Since(began))
}
