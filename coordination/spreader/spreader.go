package spreader

import (
	"maps"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/member"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Step returns the state after an event, and the effects to carry out.
func Step(s State, event Event) (State, []Effect) {
	switch e := event.(type) {
	case Tick:
		return s.withTick(e.At)
	case HeartbeatReceived:
		return s.withHeartbeat(e)
	case HeartbeatFailed:
		return s.withFailedHeartbeat(e), nil
	case ConfigurationReceived:
		return s.withConfiguration(e)
	case VersionConfirmed:
		return s.withConfirmation(e), nil
	case FetchFailed:
		return s.withFailedFetch(e)
	case RosterReceived:
		return s.withRoster(e.Roster)
	case Leave:
		s.leaving = true
		return s, s.heartbeatsToAll(e.At)
	}
	return s, nil
}

func (s State) withTick(at time.Time) (State, []Effect) {
	s = s.withEstablished(at).withoutExpiredDepartures(at).withPromoted(at)
	var effects []Effect
	if s.pushPending && at.Sub(s.pushedAt) >= pushInterval {
		s.pushPending, s.pushedAt = false, at
		effects = s.heartbeatsToAll(at)
	} else {
		effects = s.dueHeartbeats(at)
	}
	s = s.withSent(effects, at)
	if !s.relaying && s.isStale(at) && !at.Before(s.nextReadAt) {
		s.reads++
		s.nextReadAt = at.Add(s.readBackoff + s.jitter(s.readBackoff, s.reads))
		s.readBackoff = min(2*s.readBackoff, maxReadBackoff)
		effects = append(effects, ReadPlatform{})
	}
	s, more := s.withFetch(at)
	return s, append(effects, more...)
}

// isStale reports whether this daemon has to read the platform itself, because it is missing from the VM list, or
// because staleTimeout plus a jitter has passed since the platform's last confirmation or this daemon's start,
// whichever is later.
func (s State) isStale(at time.Time) bool {
	if _, listed := s.roster.VM(s.self); !listed {
		return true
	}
	latest := s.confirmedAt
	if latest.Before(s.started) {
		latest = s.started
	}
	return at.Sub(latest) > staleTimeout+s.jitter(staleJitter, 0)
}

// dueHeartbeats returns a heartbeat to each target whose interval has passed; a target with failed calls is retried
// after retryInterval until it counts as unreachable.
func (s State) dueHeartbeats(at time.Time) []Effect {
	var effects []Effect
	beat := s.Beat(at)
	for _, t := range s.targets(at) {
		p, interval := s.peers[t.name], t.interval
		if p.failures > 0 && p.failures < unreachableAfter {
			interval = retryInterval
		}
		if at.Sub(p.sentAt) >= interval {
			effects = append(effects, SendHeartbeat{Name: t.name, Address: t.address, Beat: beat})
		}
	}
	return effects
}

// heartbeatsToAll returns a heartbeat to each target and follower, whether it is due or not.
func (s State) heartbeatsToAll(at time.Time) []Effect {
	var effects []Effect
	beat, sent := s.Beat(at), map[string]bool{}
	for _, targets := range [][]target{s.targets(at), s.followers} {
		for _, t := range targets {
			if !sent[t.name] {
				sent[t.name] = true
				effects = append(effects, SendHeartbeat{Name: t.name, Address: t.address, Beat: beat})
			}
		}
	}
	return effects
}

// withSent records the time of the heartbeats among the effects.
func (s State) withSent(effects []Effect, at time.Time) State {
	if len(effects) == 0 {
		return s
	}
	s.peers = clone(s.peers)
	for _, effect := range effects {
		if send, ok := effect.(SendHeartbeat); ok {
			p := s.peers[send.Name]
			p.sentAt = at
			s.peers[send.Name] = p
		}
	}
	return s
}

func (s State) withHeartbeat(e HeartbeatReceived) (State, []Effect) {
	b := e.Beat
	if b.Name() == s.self {
		return s, nil
	}
	s.peers = clone(s.peers)
	p := s.peers[b.Name()]
	p.beat, p.receivedAt, p.failures = b, e.At, 0
	s.peers[b.Name()] = p
	s.highest = max(s.highest, b.HighestVersion(), b.HeldVersion())
	if b.Age() != member.Never && b.HighestVersion() == s.highest && s.Latest().Version() == s.highest {
		s = s.withConfirmedAt(e.At.Add(-b.Age()))
	}
	s = s.withDepartures(b, e.At).withEstablished(e.At).withPromoted(e.At)
	var effects []Effect
	if b.RosterVersion() > s.roster.Version() && e.At.Sub(s.rosterFetchedAt) >= rosterFetchInterval {
		s.rosterFetchedAt = e.At
		effects = append(effects, FetchRoster{Name: b.Name(), Address: b.Address(), After: s.roster.Version()})
	}
	s, more := s.withFetch(e.At)
	return s, append(effects, more...)
}

// withDepartures merges the departures that a heartbeat reports, its sender's among them, and drops that of a sender
// with a higher incarnation number. If this daemon is reported without leaving, it refutes that by a higher number.
func (s State) withDepartures(b member.Heartbeat, at time.Time) State {
	if known, ok := s.departures[b.Name()]; ok && !b.IsLeaving() && b.Incarnation() > known.incarnation {
		s.departures = clone(s.departures)
		delete(s.departures, b.Name())
	}
	if b.IsLeaving() {
		s = s.withDeparture(b.Name(), b.Incarnation(), at)
	}
	for _, d := range b.Departures() {
		switch {
		case d.Name() == s.self && !s.leaving && d.Incarnation() >= s.incarnation:
			s.incarnation, s.pushPending = d.Incarnation()+1, true
		case d.Name() != s.self:
			s = s.withDeparture(d.Name(), d.Incarnation(), at)
		}
	}
	return s
}

// withDeparture records that a daemon is leaving or unreachable, unless the same or a higher incarnation is recorded
// already or the daemon has since sent a heartbeat with a higher one.
func (s State) withDeparture(name string, incarnation uint64, at time.Time) State {
	known, ok := s.departures[name]
	if (ok && known.incarnation >= incarnation) || s.peers[name].beat.Incarnation() > incarnation {
		return s
	}
	s.departures = clone(s.departures)
	s.departures[name] = departure{incarnation: incarnation, recordedAt: at}
	s.pushPending = true
	return s
}

// withFailedHeartbeat counts a failure of a daemon and records an unreachable one as departed, unless this daemon seems
// to be isolated.
func (s State) withFailedHeartbeat(e HeartbeatFailed) State {
	s.peers = clone(s.peers)
	p := s.peers[e.Name]
	p.failures++
	s.peers[e.Name] = p
	if p.failures >= unreachableAfter && !s.isIsolated(e.At) {
		s = s.withDeparture(e.Name, max(1, p.beat.Incarnation()), e.At)
	}
	return s.withEstablished(e.At).withPromoted(e.At)
}

// isIsolated reports whether more than half of the targets do not answer, so that the fault is more likely this
// daemon's own.
func (s State) isIsolated(at time.Time) bool {
	targets := s.targets(at)
	unanswered := 0
	for _, t := range targets {
		if s.peers[t.name].failures > 0 {
			unanswered++
		}
	}
	return 2*unanswered > len(targets)
}

func (s State) withFailedFetch(e FetchFailed) (State, []Effect) {
	if e.Source == "" {
		return s, nil
	}
	s.peers = clone(s.peers)
	p := s.peers[e.Source]
	p.failures++
	s.peers[e.Source] = p
	if s.fetchSource == e.Source {
		s.fetchSource = ""
	}
	return s.withFetch(e.At)
}

// withFetch starts a fetch from the peer heard from last that holds a higher version than this daemon, unless a fetch
// that started less than fetchTimeout ago is in flight.
func (s State) withFetch(at time.Time) (State, []Effect) {
	if s.fetchSource != "" && at.Sub(s.fetchStartedAt) < fetchTimeout {
		return s, nil
	}
	sources := s.sources()
	if len(sources) == 0 {
		return s, nil
	}
	s.fetchSource, s.fetchStartedAt = sources[0], at
	return s, []Effect{FetchConfiguration{Name: sources[0], Address: s.peers[sources[0]].beat.Address()}}
}

// withRoster replaces the VM list by a newer one, and the relays, neighbours and followers that follow from it.
func (s State) withRoster(r roster.Roster) (State, []Effect) {
	if r.Version() <= s.roster.Version() {
		return s, nil
	}
	s.rosterHistory = append(slices.Clone(s.rosterHistory[max(0, len(s.rosterHistory)-maxRosterHistory+1):]), s.roster)
	s.roster = r
	entries := entriesOf(r)
	s.entryCount = len(entries)
	relays := Relays(entries, s.centre)
	s.relays = RankRelays(relays, s.self)
	s.neighbours, s.followers = nil, nil
	for _, vm := range Neighbours(entries, s.self) {
		s.neighbours = append(s.neighbours, newTarget(vm, neighbourInterval))
	}
	relaying := len(s.relays) < len(relays)
	if relaying {
		s.followers = followersOf(entries, relays, s.self, s.centre)
	}
	if relaying == s.relaying {
		return s, nil
	}
	s.relaying = relaying
	return s, []Effect{WatchPlatform{On: relaying}}
}

// followersOf returns the other entries of a data centre whose first choice of relay is the named entry.
func followersOf(entries, relays []roster.VM, name, centre string) []target {
	var followers []target
	for _, vm := range entries {
		if vm.Centre() != centre || vm.Name() == name {
			continue
		}
		if ranked := RankRelays(relays, vm.Name()); len(ranked) > 0 && ranked[0].Name() == name {
			followers = append(followers, newTarget(vm, relayInterval))
		}
	}
	return followers
}

// withoutExpiredDepartures drops departures recorded so long ago that no daemon can report them again.
func (s State) withoutExpiredDepartures(at time.Time) State {
	for name, d := range s.departures {
		if at.Sub(d.recordedAt) >= tombstoneTTL {
			s.departures = clone(s.departures)
			delete(s.departures, name)
		}
	}
	return s
}

func clone[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
