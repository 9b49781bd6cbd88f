package gateway

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
)

const (
	// lingerShare is the share of the grace in which a leaving entry goes on taking requests of callers that have not
	// asked again which entries to use.
	lingerShare = 0.25
	// endShare is the share of the grace after which the process ends whatever is still in progress.
	endShare = 0.94
	// quietTime is how long nothing may be in progress before the process ends.
	quietTime = 300 * time.Millisecond
	pollEvery = 50 * time.Millisecond
)

// leave stops being ready, goes on for a while, then refuses new requests and ends once those in progress are over.
func (g *Gateway) leave(ctx context.Context) {
	g.send(overseer.Leave{})
	began := time.Now()
	linger := time.Duration(lingerShare * float64(g.settings.Grace))
	last := time.Duration(endShare * float64(g.settings.Grace))
	quiet := began
	for pauser.Wait(ctx, pollEvery) {
		passed := time.Since(began)
		if passed >= linger {
			g.forward.Refuse()
		}
		if g.forward.Open() > 0 {
			quiet = time.Now()
		}
		if passed >= last || passed >= linger && time.Since(quiet) >= quietTime {
			break
		}
	}
	g.log.Info("entry ends", "in_progress", g.forward.Open(), "after", time.Since(began))
}
