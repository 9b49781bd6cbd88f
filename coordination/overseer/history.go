package overseer

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	// restoreTime is how long what was known before a restore of the store goes before what its copy says, unless that is written again.
	restoreTime = 30 * time.Second
	// maxStoreSilence is how long this entry may have heard nothing of the store before a restore for what it knows to be newer than the
	// copy, which is some seconds old.
	maxStoreSilence = 15 * time.Second
	// maxRestorePause is how long this process may have been paused for the same, and resumeTime how long after a longer pause it may take
	// to read what it missed.
	maxRestorePause = 2 * time.Second
	resumeTime      = 5 * time.Second
	// removalRetention is how long a removed runner is remembered, in case that a copy of the store still holds it.
	removalRetention = time.Minute
	// joinTimeout is how long an entry that has started waits for what the others know, where the store may have been restored.
	joinTimeout = 2 * time.Second
	// registerDelay is how long this entry's registration may be missing before it registers again, as its last one may be on the way;
	// linkedRegisterDelay is the same where registrations are read from another entry's copy. registerInterval is the time between two
	// attempts.
	registerDelay       = time.Second
	linkedRegisterDelay = 2500 * time.Millisecond
	registerInterval    = 2 * time.Second
	// registersPerSecond bounds the registrations that all entries together write after a restore.
	registersPerSecond = 300
)

// history is what is known of the restores of the store.
type history struct {
	// era is the latest known era of the store, once isKnown is set.
	era     uint64
	isKnown bool
	// raisedAt is when the last rise became known, and config the latest era in which the configuration was read.
	raisedAt time.Duration
	config   uint64
	// lost is the highest version of the configuration that the store had before a restore and that this entry had not read. No older one
	// may be used to judge keys.
	lost uint64
	// isJoined says that this entry knows what the others know, or need not wait for it, and startedAt when it began to wait.
	isJoined  bool
	startedAt time.Duration
	// resumedAt is when the last pause of more than maxRestorePause ended, 0 for never.
	resumedAt time.Duration
	// removed are the runners that were removed lately, by identifier.
	removed map[string]removal
	// registerAt is when this entry registers again, 0 if its registration is not missing.
	registerAt time.Duration
}

// removal is the removal of one start of a runner.
type removal struct {
	startedAt int64
	at        time.Duration
}

// source says who told of a position in the store's history.
type source struct {
	name string
	at   time.Duration
}

// Era returns the latest known era of the store, which rises each time that it is restored from an older copy.
func (s State) Era() uint64 { return s.history.era }

// positionOf returns the position in the store's history that an event shows and who told of it, and false if it shows none.
func (s State) positionOf(event Event) (position.Position, source, bool) {
	read := func(p position.Position, isUnconfirmed bool, at time.Duration) (position.Position, source, bool) {
		if isUnconfirmed {
			return p, source{name: "copy or cheap listing", at: at}, true
		}
		return p, source{name: "store", at: at}, true
	}
	switch e := event.(type) {
	case ConfigReceived:
		return read(e.Table.Position(), e.RequestedAt == 0, max(e.RequestedAt, s.tickedAt))
	case ConfigUnread:
		return read(e.Position, e.RequestedAt == 0, max(e.RequestedAt, s.tickedAt))
	case RunnersListed:
		return read(e.Position, e.Unconfirmed, e.At)
	case RunnersChanged:
		return read(e.Position, false, e.At)
	case PeersListed:
		return read(e.Position, e.Unconfirmed, e.At)
	case PeersChanged:
		return read(e.Position, false, e.At)
	case EvacuationsListed:
		return read(e.Position, e.Unconfirmed, e.At)
	case EvacuationsChanged:
		return read(e.Position, e.RequestedAt == 0, e.At)
	case HeartbeatReceived:
		return e.Heartbeat.RunnersAt, source{name: e.Heartbeat.Name, at: e.At}, e.Heartbeat.HasEra && s.history.isKnown
	}
	return position.Position{}, source{}, false
}

// withEra takes in the era that an event shows.
func (s State) withEra(event Event) (State, []Effect) {
	p, from, is := s.positionOf(event)
	switch {
	case !is:
	case !s.history.isKnown:
		// A store that tells no era, or that was never restored, holds all that the others know.
		s.history.era, s.history.isKnown, s.history.isJoined = p.Era, true, s.history.isJoined || p.Era == 0
	case p.Era > s.history.era:
		before := s.history.era
		s.history.era, s.history.raisedAt = p.Era, from.at
		return s, []Effect{Restored{Era: p.Era}, Log{
			Message: "store was restored from an older copy; what is known goes before the copy until it is written again",
			Args:    []any{"before", before, "era", p.Era, "source", from.name, "known", s.runnersAt.asOf, "age", from.at - s.runnersSeenAt},
		}}
	}
	return s, nil
}

// isRestored reports whether a listing is the first one in a later era of what is known up to a position, and this entry's knowledge is
// from so shortly before that it is newer than the copy. A process that was paused, or out of touch, knows less than the copy may hold.
func (s State) isRestored(known, listed position.Position, at time.Duration) bool {
	wasPaused := s.tickedAt > 0 && at-s.tickedAt > maxRestorePause || s.history.resumedAt > 0 && at-s.history.resumedAt < resumeTime
	isSilent := s.unreachable && at-s.unreachableSince > maxStoreSilence
	return listed.Era > known.Era && !wasPaused && !isSilent
}

// withRunnersRestored reconciles the runners that a restored store holds with those known. Those that this entry knows to leave or to
// be gone are treated as leaving, those that the copy lacks stay in use, and of two starts of one the later counts.
func (s State) withRunnersRestored(list []runner.Runner, at time.Duration) (State, []runner.Runner) {
	next := make([]runner.Runner, 0, len(list))
	isListed := make(map[string]bool, len(list))
	for _, r := range list {
		isListed[r.ID()] = true
		known, found := s.runners.Runner(r.ID())
		if found && known.StartedAt() > r.StartedAt() {
			next = append(next, known)
			continue
		}
		next = append(next, r)
		removed, wasRemoved := s.history.removed[r.ID()]
		isOver := found && !known.IsReady() && known.StartedAt() == r.StartedAt() || !found && wasRemoved && removed.startedAt == r.StartedAt()
		if _, isKnown := s.leavers[r.ID()]; isOver && r.IsReady() && !isKnown {
			s.leavers = withValue(s.leavers, r.ID(), leaver{startedAt: r.StartedAt(), knownAt: at, until: at + restoreTime, isRestored: true})
		}
	}
	for _, known := range s.runners.All() {
		if !isListed[known.ID()] && known.IsReady() {
			s.retained = withValue(s.retained, known.ID(), retainedRunner{runner: known, until: at + restoreTime})
		}
	}
	return s, next
}

// withRemoval remembers that a runner was removed.
func (s State) withRemoval(r runner.Runner, at time.Duration) State {
	s.history.removed = withValue(s.history.removed, r.ID(), removal{startedAt: r.StartedAt(), at: at})
	return s
}

// withValue returns a copy of a map with a value.
func withValue[K comparable, V any](m map[K]V, key K, value V) map[K]V {
	m = maps.Clone(m)
	if m == nil {
		m = map[K]V{}
	}
	m[key] = value
	return m
}

// withoutKey returns a copy of a map without a key.
func withoutKey[K comparable, V any](m map[K]V, key K) map[K]V {
	m = maps.Clone(m)
	delete(m, key)
	return m
}

// withPeersRestored returns the entries that stay known although a restored store lacks them, or holds an earlier start of them: those that
// are present. What the copy holds beyond those known may have been removed since.
func (s State) withPeersRestored(peers map[string]*entry, at time.Duration) map[string]*entry {
	for name, e := range peers {
		if _, found := s.find(name); !found {
			e.isUnproved = true
		}
	}
	for name, e := range s.others() {
		if listed, found := peers[name]; s.isPresent(e, at) && (!found || listed.peer.Start < e.peer.Start) {
			e.keptUntil = at + restoreTime
			peers[name] = &e
		}
	}
	return peers
}

// withOwnRegistration notes whether this entry's registration is in the store. One that is missing is written again: at once if a
// restore lost it, else after the time that its last one may be on the way. Entries do so one after another.
func (s State) withOwnRegistration(isRegistered, isLost bool, at time.Duration) State {
	switch {
	case isRegistered:
		s.history.registerAt = 0
	case s.history.registerAt == 0 || isLost:
		s.history.registerAt = at + s.registerDelay(isLost)
	}
	return s
}

func (s State) registerDelay(isLost bool) time.Duration {
	spread := time.Duration(xxhash.Sum64String(s.self.Name) % uint64(len(s.peers)+1) * uint64(time.Second) / registersPerSecond)
	switch {
	case isLost:
		return spread
	case s.IsLinked():
		return linkedRegisterDelay + spread
	}
	return registerDelay
}

// isOwn reports whether a registration is that of this process, or of a later one on the same VM.
func (s State) isOwn(p peer.Peer) bool { return p.Name == s.self.Name && p.Start >= s.self.Start }

// withRegistration asks to register this entry again if that is due.
func (s State) withRegistration(at time.Duration) (State, []Effect) {
	if s.history.registerAt == 0 || at < s.history.registerAt || s.leaving {
		return s, nil
	}
	s.history.registerAt = at + registerInterval
	return s, []Effect{Register{}, Log{Message: "registration of this entry is missing in the store; registering again"}}
}

// withLostVersion takes in that another entry has a newer version of the configuration in force, which the store had before a restore and
// lacks since. The older one that this entry read afterwards was not the newest, whenever it asked.
func (s State) withLostVersion(b peer.Heartbeat) (State, []Effect) {
	if !s.hasTable || b.ConfigVersion <= max(s.table.Version(), s.history.lost) || b.ConfigEra >= s.history.config {
		return s, nil
	}
	s.history.lost = b.ConfigVersion
	return s, []Effect{Log{
		Message: "restored store has an older configuration than another entry; keys are refused until the newer one is written again",
		Args:    []any{"version", s.table.Version(), "missing", b.ConfigVersion, "entry", b.Name},
	}}
}

// withLostVersions takes in the same of all entries that were heard from before the configuration was read in another era.
func (s State) withLostVersions() (State, []Effect) {
	var effects []Effect
	for _, e := range s.others() {
		if e.heardAt > 0 {
			var missing []Effect
			s, missing = s.withLostVersion(e.heartbeat)
			effects = append(effects, missing...)
		}
	}
	return s, effects
}

// withJoined ends the wait of an entry that has started for what the others know, once it has read the store: all of it stands in a
// heartbeat of one that is ready. Where none is, there is nothing to wait for once all were heard.
func (s State) withJoined(b peer.Heartbeat) State {
	isRead := s.hasTable && s.hasRunners && (!s.ReadsEvacuations() || s.evacuations.isListed)
	if s.history.isJoined || !isRead {
		return s
	}
	s.history.isJoined = b.Ready
	if !b.Ready {
		s.history.isJoined = true
		for _, e := range s.others() {
			s.history.isJoined = s.history.isJoined && e.heardAt > 0
		}
	}
	return s
}

// withJoinTimeout ends the wait if it takes too long.
func (s State) withJoinTimeout(at time.Duration) (State, []Effect) {
	switch {
	case s.history.isJoined || !s.history.isKnown:
	case s.history.startedAt == 0:
		s.history.startedAt = at
	case at-s.history.startedAt >= joinTimeout:
		s.history.isJoined = true
		return s, []Effect{Log{Message: "no ready entry heard from in time; using what the store says", Args: []any{"era", s.history.era}}}
	}
	return s, nil
}

// withPauseNoted notes the end of a pause of this process.
func (s State) withPauseNoted(at time.Duration) State {
	if s.tickedAt > 0 && at-s.tickedAt > maxRestorePause {
		s.history.resumedAt = at
	}
	return s
}

// withoutExpiredRemovals forgets the runners that were removed long ago.
func (s State) withoutExpiredRemovals(at time.Duration) State {
	for id, r := range s.history.removed {
		if at-r.at >= removalRetention {
			s.history.removed = withoutKey(s.history.removed, id)
		}
	}
	return s
}

// withinEra returns a heartbeat of a process that tells no era with that of this entry.
func (s State) withinEra(b peer.Heartbeat) peer.Heartbeat {
	if b.HasEra {
		return b
	}
	b.RunnersAt.Era, b.ConfigEra = s.history.era, s.history.era
	b.Evacuations = slices.Clone(b.Evacuations)
	for i := range b.Evacuations {
		b.Evacuations[i].Position.Era = s.history.era
	}
	return b
}
