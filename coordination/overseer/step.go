package overseer

import (
	"maps"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// Step applies an event to a state and returns the new state with the effects to carry out, in order.
func Step(s State, event Event) (State, []Effect) {
	switch e := event.(type) {
	case ConfigReceived, ConfigConfirmed, ConfigUnread:
		return s.withConfigEvent(event)
	case RunnersListed:
		return s.withRunnersListed(e)
	case RunnersChanged:
		return s.withRunnersChanged(e)
	case StoreUnreachable:
		return s.withStoreUnreachable(e.At)
	case PeersListed:
		next, isNews := s.peersAt.withListing(e.Revision, e.Unconfirmed)
		s.peersAt = next
		if isNews {
			s = s.withPeerList(e.Peers, e.At)
		}
		return s, nil
	case PeersChanged:
		next, isNews := s.peersAt.withChanges(e.Revision)
		s.peersAt = next
		if isNews {
			s = s.withPeerChanges(e.Changes, e.At)
		}
		return s, nil
	case HeartbeatReceived:
		return s.withHeartbeat(e.Heartbeat, e.At)
	case RunnerLeaves:
		return s.withLeaver(e)
	case EvacuationsListed, EvacuationsChanged:
		return s.withEvacuationEvent(event)
	case Tick:
		s, effects := s.withEvacuationsAwaited(e.At)
		s, due := s.withTicked(e.At).withoutExpiredCrashes(e.At).withoutExpiredParts(e.At).withoutExpiredLeavers(e.At).tick(e.At)
		return s, append(effects, due...)
	case Leave:
		s.leaving = true
		return s, []Effect{Log{Message: "entry leaves"}}
	}
	return s.withEvidence(event)
}

// withEvidence applies an event that accuses a request of crashes or clears it.
func (s State) withEvidence(event Event) (State, []Effect) {
	switch e := event.(type) {
	case RunnerCrashed:
		return s.withCrash(e)
	case AnswerCut:
		return s.withCut(e), nil
	case RunnerSeen:
		return s.withRunnerSeen(e)
	case RequestAnswered:
		s.crashes = s.crashes.WithAnswer(suspect.Answer{Fingerprint: e.Fingerprint, At: e.At}, e.At)
	case PartsAnswered:
		return s.withPartsAnswered(e)
	}
	return s, nil
}

// withRunnersListed takes in a listing of all runners, unless it is older than what is known.
func (s State) withRunnersListed(e RunnersListed) (State, []Effect) {
	known := s.runnersAt.asOf
	next, isNews := s.runnersAt.withListing(e.Revision, e.Unconfirmed)
	s.runnersAt = next
	if !isNews {
		s, effects := s.withStoreReachable(e.At)
		return s, append(effects, Log{Message: "older listing of runners ignored", Args: []any{"revision", e.Revision, "known", known}})
	}
	s.runnersLast = e.Revision
	s, effects := s.withRunnerList(e.Runners, e.At)
	s, lost := s.withCutsJudged(e.At)
	return s, append(effects, lost...)
}

// withRunnersChanged takes in changes of runners, unless they are known already.
func (s State) withRunnersChanged(e RunnersChanged) (State, []Effect) {
	next, isNews := s.runnersAt.withChanges(e.Revision)
	s.runnersAt = next
	if !isNews {
		return s.withStoreReachable(e.At)
	}
	for _, c := range e.Changes {
		s.runnersLast = max(s.runnersLast, c.Revision)
	}
	s, effects := s.withRunnerChanges(e.Changes, e.At)
	s, lost := s.withCutsJudged(e.At)
	return s, append(effects, lost...)
}

func (s State) withStoreUnreachable(at time.Duration) (State, []Effect) {
	if s.unreachable {
		return s, nil
	}
	s.unreachable, s.unreachableSince = true, at
	return s, []Effect{Log{Message: "store unreachable; keeping known runners"}}
}

// withStoreReachable ends an outage of the store, if there is one.
func (s State) withStoreReachable(at time.Duration) (State, []Effect) {
	if !s.unreachable {
		return s, nil
	}
	s.unreachable = false
	if at-s.unreachableSince >= minOutage {
		s.recoveredAt = at
	}
	return s, []Effect{Log{Message: "store reachable again", Args: []any{"after", at - s.unreachableSince}}}
}

// isLapsePossible reports whether a registration that is missing now may have lapsed because the store was unreachable.
func (s State) isLapsePossible(at time.Duration) bool {
	return s.recoveredAt > 0 && at-s.recoveredAt < reregistrationTime
}

func (s State) withRunnerList(list []runner.Runner, at time.Duration) (State, []Effect) {
	s, effects := s.withStoreReachable(at)
	next := runner.NewSet(list...)
	s.retained = maps.Clone(s.retained)
	for id, kept := range s.retained {
		if _, found := next.Runner(id); found {
			delete(s.retained, id)
		} else {
			next = next.WithRunners(kept.runner)
		}
	}
	if s.isLapsePossible(at) {
		for _, r := range s.runners.All() {
			if _, found := next.Runner(r.ID()); !found && r.IsReady() {
				s.retained[r.ID()] = retainedRunner{runner: r, until: s.recoveredAt + reregistrationTime}
				next = next.WithRunners(r)
			}
		}
	}
	before := s.runners
	s.hasRunners = true
	s = s.withRunnerSet(next).withDrainedSince(before, at).withLeaversMarked()
	return s, append(effects, Log{Message: "runners listed", Args: []any{"runners", next.Len(), "in doubt", len(s.retained)}})
}

func (s State) withRunnerChanges(changes []listing.Change[runner.Runner], at time.Duration) (State, []Effect) {
	s, effects := s.withStoreReachable(at)
	if len(changes) == 0 {
		return s, effects
	}
	s.retained = maps.Clone(s.retained)
	registered := 0
	for _, c := range changes {
		old, found := s.runners.Runner(c.Name)
		switch {
		case !c.Removed && c.Valid:
			delete(s.retained, c.Name)
			if found && !c.Item.IsReady() {
				s = s.withDrained(old, at)
			}
			s = s.withRegistered(c.Item)
			registered++
			if registered > maxLoggedRunners {
				continue
			}
			effects = append(effects, Log{Message: "runner registered", Args: []any{
				"runner", c.Name, "service", c.Item.Service(), "address", c.Item.Address(), "ready", c.Item.IsReady(),
			}})
		case found && c.Removed && old.IsReady() && s.isLapsePossible(at):
			s.retained[c.Name] = retainedRunner{runner: old, until: s.recoveredAt + reregistrationTime}
			effects = append(effects, Log{Message: "registration missing after store outage; keeping runner", Args: []any{"runner", c.Name}})
		case found:
			s = s.withDrained(old, at)
			s = s.withRunnerSet(s.runners.Without(c.Name))
			effects = append(effects, Log{Message: "runner removed", Args: []any{"runner", c.Name, "service", old.Service()}})
		}
	}
	if registered > maxLoggedRunners {
		effects = append(effects, Log{Message: "more runners registered", Args: []any{"runners", registered - maxLoggedRunners}})
	}
	return s, effects
}

// maxLoggedRunners bounds the runners that are logged by name when many register at once.
const maxLoggedRunners = 3

func (s State) withPeerList(list []peer.Peer, at time.Duration) State {
	peers := make(map[string]entry, len(list))
	for _, p := range list {
		if p.Name != s.self.Name {
			peers[p.Name] = s.merged(p, at)
		}
	}
	s.peers, s.hasPeers = peers, true
	return s
}

// merged returns an entry with a new registration, keeping the last heartbeat if it came from the same start.
func (s State) merged(p peer.Peer, at time.Duration) entry {
	e, found := s.peers[p.Name]
	if !found || e.peer.Start != p.Start {
		return entry{peer: p, listedAt: at}
	}
	e.peer = p
	return e
}

func (s State) withPeerChanges(changes []listing.Change[peer.Peer], at time.Duration) State {
	if len(changes) == 0 {
		return s
	}
	s.peers = maps.Clone(s.peers)
	for _, c := range changes {
		switch {
		case c.Name == s.self.Name:
		case c.Removed || !c.Valid:
			delete(s.peers, c.Name)
		default:
			s.peers[c.Name] = s.merged(c.Item, at)
		}
	}
	return s
}

func (s State) withHeartbeat(b peer.Heartbeat, at time.Duration) (State, []Effect) {
	e, found := s.peers[b.Name]
	if !found || b.Start != e.peer.Start {
		return s, nil
	}
	if e.heardAt > 0 && at-e.heardAt > s.heartbeatTimeout()/2 {
		e.returnedAt = at
	}
	if e.wasSilent(at) {
		e.rejoinedAt = at
	}
	e.heartbeat, e.heardAt = b, at
	s = s.withEntry(e).withRelayedAge(b, at).withSilences(b, at).withRelayedOutage(b, at).withInformed(b).withPeerLeavers(b, at)
	s, effects := s.withPeerEvacuations(b, at)
	s, lost := s.withPeerCrashes(b, at)
	s = s.withPeerAnswers(b, at)
	s, judged := s.withPeerParts(b, at)
	return s, slices.Concat(effects, lost, judged)
}

// withEntry returns the state with another entry replaced.
func (s State) withEntry(e entry) State {
	s.peers = maps.Clone(s.peers)
	s.peers[e.peer.Name] = e
	return s
}

// withRelayedAge confirms the configuration by another entry's heartbeat of the same version. The heartbeat echoes when
// this entry sent the last one received there (Echo), how long ago that was received (Held), and the age of the
// configuration there (Age). As it was sent at Echo+Held or later on this entry's clock, the configuration was the
// newest at Echo+Held-Age, however long the heartbeat was in flight. An echo of an earlier start is ignored, as that
// start's clock may differ, and so is a result in the future.
func (s State) withRelayedAge(b peer.Heartbeat, at time.Duration) State {
	if !s.hasTable || b.Echo == 0 || b.EchoStart != s.self.Start || b.ConfigVersion != s.table.Version() {
		return s
	}
	confirmed := b.Echo + b.EchoDelay - b.ConfigAge
	if confirmed > at {
		return s
	}
	return s.withConfirmation(confirmed)
}

// refresh returns a Refresh effect if a live entry has reported newer data for longer than is tolerated, or if the
// configuration was not confirmed for refreshAge; at most one for each minRefreshInterval.
func (s State) refresh(at time.Duration) (State, []Effect) {
	configBehind, runnersBehind := false, false
	for _, b := range s.Heartbeats(at) {
		configBehind = configBehind || s.hasTable && b.ConfigVersion > s.table.Version()
		runnersBehind = runnersBehind || s.hasRunners && b.RunnersRevision > s.runnersAt.asOf
	}
	tolerance := behindTolerance
	if s.IsLinked() && !s.IsRelay(at) {
		tolerance = linkedBehindTolerance
	}
	s.configBehindSince = behindSince(s.configBehindSince, configBehind, at)
	s.runnersBehindSince = behindSince(s.runnersBehindSince, runnersBehind, at)
	r := Refresh{
		Config:  configBehind && at-s.configBehindSince >= tolerance || s.hasTable && s.isConfirmationDue(at),
		Runners: runnersBehind && at-s.runnersBehindSince >= tolerance,
	}
	if r == (Refresh{}) || at-s.refreshedAt < minRefreshInterval {
		return s, nil
	}
	s.refreshedAt = at
	return s, []Effect{r}
}

// behindSince returns since when this entry is behind, 0 if it is not.
func behindSince(since time.Duration, behind bool, at time.Duration) time.Duration {
	switch {
	case !behind:
		return 0
	case since == 0:
		return at
	}
	return since
}

// tick refreshes from the store if that is due, removes retained runners that did not register again in time, and has
// the cleanup leader deregister entries that are silent for deregisterAfter.
func (s State) tick(at time.Duration) (State, []Effect) {
	s, effects := s.withLinks(at).refresh(at)
	for id, kept := range s.retained {
		if at < kept.until {
			continue
		}
		s.retained = maps.Clone(s.retained)
		delete(s.retained, id)
		s = s.withRunnerSet(s.runners.Without(id))
		effects = append(effects, Log{Message: "runner removed", Args: []any{"runner", id, "service", kept.runner.Service()}})
	}
	if fresh := s.IsFresh(at); fresh != s.loggedFresh {
		s.loggedFresh = fresh
		effects = append(effects, Log{Message: "configuration freshness changed", Args: []any{"fresh", fresh, "age", s.Age(at)}})
	}
	for name, e := range s.peers {
		if at-max(e.heardAt, e.listedAt) > max(deregisterAfter, s.heartbeatTimeout()) && s.isCleanupLeader(at) {
			s.peers = maps.Clone(s.peers)
			delete(s.peers, name)
			effects = append(effects, Deregister{Name: name}, Log{Message: "removing registration of silent entry", Args: []any{"entry", name}})
		}
	}
	return s, effects
}

// isCleanupLeader reports whether this entry is the one that deregisters silent entries: the first live one by name.
func (s State) isCleanupLeader(at time.Duration) bool {
	for _, b := range s.Heartbeats(at) {
		if b.Name < s.self.Name {
			return false
		}
	}
	return true
}
