package gateway

import (
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/follower"
	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// longWatchWait is how long a watch waits whose age does not matter: of entries, and of those that learn from others how new
// their knowledge is.
const longWatchWait = 15 * time.Second

// relayWatchShare is the part of the time to trust keys that a watch of a relay waits at most: two of them and a heartbeat
// have to fit into what other entries wait before they ask the store themselves.
const relayWatchShare = 0.3

// watchWait returns how long the next watch of configuration or runners waits.
func (g *Gateway) watchWait() time.Duration {
	if g.loop.Snapshot().IsRelay(g.platform.Clock.Now()) {
		return min(follower.DefaultWait, time.Duration(relayWatchShare*float64(g.settings.Trust())))
	}
	return longWatchWait
}

// configSink brings the configuration to the control goroutine.
type configSink struct{ *Gateway }

// Listed brings the configuration.
func (s configSink) Listed(l listing.Listing[routing.Table], asked time.Duration) {
	for _, t := range l.Items {
		s.send(overseer.Configured{Table: t, Asked: asked})
	}
}

// Changed brings a new configuration, or confirms the one in force.
func (s configSink) Changed(c listing.Changes[routing.Table], asked time.Duration) {
	for _, change := range c.Items {
		if change.Valid && !change.Removed {
			s.send(overseer.Configured{Table: change.Item, Asked: asked})
		}
	}
	if len(c.Items) == 0 {
		s.send(overseer.Confirmed{Asked: asked})
	}
}

// Lost logs that the configuration could not be read.
func (s configSink) Lost(err error) { s.log.Debug("configuration not read", "error", err) }

// runnerSink brings registrations of runners to the control goroutine.
type runnerSink struct{ *Gateway }

// Listed brings all runners.
func (s runnerSink) Listed(l listing.Listing[runner.Runner], _ time.Duration) {
	s.send(overseer.RunnersListed{Runners: l.Items, Revision: l.Revision, At: s.platform.Clock.Now()})
}

// Changed brings what changed.
func (s runnerSink) Changed(c listing.Changes[runner.Runner], _ time.Duration) {
	s.send(overseer.RunnersChanged{Changes: c.Items, Revision: c.Revision, At: s.platform.Clock.Now()})
}

// Lost notes that the store did not answer.
func (s runnerSink) Lost(err error) {
	s.log.Debug("runners not read", "error", err)
	s.send(overseer.StoreLost{At: s.platform.Clock.Now()})
}

// peerSink brings registrations of entries to the control goroutine.
type peerSink struct{ *Gateway }

// Listed brings all entries.
func (s peerSink) Listed(l listing.Listing[peer.Peer], _ time.Duration) {
	s.send(overseer.PeersListed{Peers: l.Items, At: s.platform.Clock.Now()})
}

// Changed brings what changed.
func (s peerSink) Changed(c listing.Changes[peer.Peer], _ time.Duration) {
	s.send(overseer.PeersChanged{Changes: c.Items, At: s.platform.Clock.Now()})
}

// Lost logs that the entries could not be read.
func (s peerSink) Lost(err error) { s.log.Debug("entries not read", "error", err) }
