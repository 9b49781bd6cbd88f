package overseer

import (
	"maps"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// Step applies an event to a state and returns the new state with the effects to carry out, in order.
func Step(s State, event Event) (State, []Effect) {
	s, restored := s.withEra(event)
	s, effects := s.step(event)
	return s, append(restored, effects...)
}

func (s State) step(event Event) (State, []Effect) {
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
		return s.withPeersListed(e), nil
	case PeersChanged:
		next, isNews := s.peersAt.withChanges(e.Position)
		s.peersAt = next
		if isNews {
			s = s.withPeerChanges(e.Changes, e.At)
		}
		return s, nil
	case HeartbeatReceived:
		return s.withHeartbeat(s.withinEra(e.Heartbeat), e.At)
	case RunnerLeaves:
		return s.withLeaver(e)
	case EvacuationsListed, EvacuationsChanged:
		return s.withEvacuationEvent(event)
	case Tick:
		s, effects := s.withEvacuationsAwaited(e.At)
		s, ended := s.withoutExpiredDoubts(e.At)
		s, joined := s.withJoinTimeout(e.At)
		s, registered := s.withRegistration(e.At)
		s, due := s.withPauseNoted(e.At).withTicked(e.At).withoutExpiredCrashes(e.At).withoutExpiredParts(e.At).withoutExpiredLeavers(e.At).
			withoutExpiredRemovals(e.At).tick(e.At)
		return s, slices.Concat(effects, ended, joined, registered, due)
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
	known, list := s.runnersAt.asOf, e.Runners
	next, isNews := s.runnersAt.withListing(e.Position, e.Unconfirmed)
	s.runnersAt = next
	if !isNews {
		s, effects := s.withStoreReachable(e.At)
		return s, append(effects, Log{Message: "older listing of runners ignored", Args: []any{"position", e.Position, "known", known}})
	}
	if s.hasRunners && s.isRestored(known, e.Position, e.At) {
		s, list = s.withRunnersRestored(list, e.At)
	}
	s.runnersLast, s.runnersSeenAt = e.Position, e.At
	s, effects := s.withRunnerList(list, e.At)
	s, lost := s.withCutsJudged(e.At)
	return s, append(effects, lost...)
}

// withRunnersChanged takes in changes of runners, unless they are known already.
func (s State) withRunnersChanged(e RunnersChanged) (State, []Effect) {
	next, isNews := s.runnersAt.withChanges(e.Position)
	s.runnersAt = next
	if !isNews {
		return s.withStoreReachable(e.At)
	}
	s.runnersSeenAt = e.At
	for _, c := range e.Changes {
		s.runnersLast = position.Max(s.runnersLast, c.Position)
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
			s = s.withoutRestoredLeaver(c.Name).withRegistered(c.Item)
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
			s = s.withDrained(old, at).withRemoval(old, at)
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

func (s State) withHeartbeat(b peer.Heartbeat, at time.Duration) (State, []Effect) {
	e, found := s.find(b.Name)
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
	s, missing := s.withLostVersion(b)
	s = s.withEntry(e).withRelayedAge(b, at).withSilences(b, at).withRelayedOutage(b, at).withInformed(b).withPeerLeavers(b, at)
	s, effects := s.withPeerEvacuations(b, at)
	s, lost := s.withPeerCrashes(b, at)
	s = s.withPeerAnswers(b, at)
	s, judged := s.withPeerParts(b, at)
	return s.withJoined(b), slices.Concat(missing, effects, lost, judged)
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
	configBehind, runnersBehind := s.isBehind(at)
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
	if isLinked := s.IsLinked() && !s.IsRelay(at); !isLinked || at-s.history.raisedAt >= tolerance {
		r = s.withEarlierEras(r)
	}
	if r == (Refresh{}) || at-s.refreshedAt < minRefreshInterval {
		return s, nil
	}
	s.refreshedAt = at
	return s, []Effect{r}
}

// isBehind reports whether a live entry has a newer configuration, or knows of newer changes of runners.
func (s State) isBehind(at time.Duration) (config, runners bool) {
	for _, b := range s.Heartbeats(at) {
		// A version that was last read in an earlier era is not in the store.
		config = config || s.hasTable && b.ConfigVersion > s.table.Version() && b.ConfigEra >= s.history.config
		runners = runners || s.hasRunners && s.runnersAt.asOf.IsBefore(b.RunnersAt)
	}
	return config, runners
}

// withEarlierEras adds the kinds of objects that were last read in an earlier era than the latest known one.
func (s State) withEarlierEras(r Refresh) Refresh {
	era := s.history.era
	r.Config = r.Config || s.hasTable && s.history.config < era
	r.Runners = r.Runners || s.hasRunners && s.runnersAt.asOf.Era < era
	r.Entries = s.hasPeers && s.peersAt.asOf.Era < era
	r.Evacuations = s.evacuations.isListed && s.evacuations.at.asOf.Era < era
	return r
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
		s.retained = withoutKey(s.retained, id)
		s = s.withRunnerSet(s.runners.Without(id))
		effects = append(effects, Log{Message: "runner removed", Args: []any{"runner", id, "service", kept.runner.Service()}})
	}
	if fresh := s.IsFresh(at); fresh != s.loggedFresh {
		s.loggedFresh = fresh
		effects = append(effects, Log{Message: "configuration freshness changed", Args: []any{"fresh", fresh, "age", s.Age(at)}})
	}
	for name, e := range s.others() {
		if at-max(e.heardAt, e.listedAt) > max(deregisterAfter, s.heartbeatTimeout()) && s.isCleanupLeader(at) {
			s.peers = withoutKey(s.peers, name)
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
