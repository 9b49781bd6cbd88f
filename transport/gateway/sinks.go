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

// longWatchWait is how long a watch may wait when its staleness does not matter: watches of entries, and watches by
// entries that learn from relays how fresh their configuration is.
const longWatchWait = 15 * time.Second

// relayWatchShare limits a watch by a relay to a share of the maximum staleness of keys: two watches and a heartbeat
// must fit into the staleness at which other entries query the store themselves. linkedWatchShare is the same where the
// heartbeats pass several entries.
const (
	relayWatchShare  = 0.3
	linkedWatchShare = 0.17
)

// configWait returns how long the next watch of the configuration may wait.
func (g *Gateway) configWait() time.Duration {
	state, now := g.loop.Snapshot(), g.platform.Clock.Now()
	share := relayWatchShare
	if state.IsLinked() {
		share = linkedWatchShare
	}
	if state.IsRelay(now) {
		return min(follower.DefaultWatchWait, time.Duration(share*float64(g.settings.MaxKeyAge())))
	}
	return longWatchWait
}

// isLinked reports whether this entry learns from others when the store is back.
func (g *Gateway) isLinked() bool {
	state := g.loop.Snapshot()
	return state.IsLinked() && !state.IsRoot(g.platform.Clock.Now())
}

// runnersWait returns how long the next watch of runners may wait.
func (g *Gateway) runnersWait() time.Duration {
	if g.loop.Snapshot().IsRelay(g.platform.Clock.Now()) {
		return follower.DefaultWatchWait
	}
	return longWatchWait
}

// configSink passes the configuration that a follower reads to the control goroutine.
type configSink struct{ *Gateway }

// Listed passes on the configuration.
func (s configSink) Listed(l listing.Listing[routing.Table], asked time.Duration) {
	if l.Unconfirmed {
		asked = 0
	}
	for _, t := range l.Items {
		s.send(overseer.ConfigReceived{Table: t, RequestedAt: asked})
	}
	if len(l.Items) == 0 {
		s.send(overseer.ConfigUnread{Position: l.Position, RequestedAt: asked})
	}
}

// Changed passes on a new configuration, of several the last one as the newest; no change at all in the store confirms the one in force.
func (s configSink) Changed(c listing.Changes[routing.Table], asked time.Duration) {
	if c.Unconfirmed {
		asked = 0
	}
	for i, change := range c.Items {
		requestedAt := asked
		if i < len(c.Items)-1 {
			requestedAt = 0
		}
		if change.Valid && !change.Removed {
			s.send(overseer.ConfigReceived{Table: change.Item, RequestedAt: requestedAt})
		} else {
			at := change.Position
			if at.Revision == 0 {
				at = c.Position
			}
			s.send(overseer.ConfigUnread{Position: at, RequestedAt: requestedAt})
		}
	}
	if len(c.Items) == 0 && !c.Unconfirmed {
		s.send(overseer.ConfigConfirmed{RequestedAt: asked})
	}
}

// Failed logs that the configuration could not be read; the follower retries with backoff.
func (s configSink) Failed(err error) {
	s.log.Debug("reading the configuration from the store failed; retrying with backoff", "error", err)
}

// runnerSink passes the registrations of runners that a follower reads to the control goroutine.
type runnerSink struct{ *Gateway }

// Listed passes on all runners.
func (s runnerSink) Listed(l listing.Listing[runner.Runner], _ time.Duration) {
	s.send(overseer.RunnersListed{
		Runners: l.Items, Position: l.Position, Unconfirmed: l.Unconfirmed, At: s.platform.Clock.Now(),
	})
}

// Changed passes on what changed.
func (s runnerSink) Changed(c listing.Changes[runner.Runner], _ time.Duration) {
	s.send(overseer.RunnersChanged{Changes: c.Items, Position: c.Position, At: s.platform.Clock.Now()})
}

// Failed logs the failure and tells the control goroutine that the store is unreachable.
func (s runnerSink) Failed(err error) {
	s.log.Debug("reading runners from the store failed; known runners stay in use, retrying with backoff", "error", err)
	s.send(overseer.StoreUnreachable{At: s.platform.Clock.Now()})
}

// peerSink passes the registrations of entries that a follower reads to the control goroutine.
type peerSink struct{ *Gateway }

// Listed passes on all entries.
func (s peerSink) Listed(l listing.Listing[peer.Peer], _ time.Duration) {
	s.send(overseer.PeersListed{
		Peers: l.Items, Position: l.Position, Unconfirmed: l.Unconfirmed, At: s.platform.Clock.Now(),
	})
}

// Changed passes on what changed.
func (s peerSink) Changed(c listing.Changes[peer.Peer], _ time.Duration) {
	s.send(overseer.PeersChanged{Changes: c.Items, Position: c.Position, At: s.platform.Clock.Now()})
}

// Failed logs that the entries could not be read; the follower retries with backoff.
func (s peerSink) Failed(err error) {
	s.log.Debug("reading entries from the store failed; known entries stay in use, retrying with backoff", "error", err)
}
