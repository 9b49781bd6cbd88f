package spreader

import "time"

// withConfiguration stores a complete configuration as the prepared one and announces its version at once. It is put
// in force only after other daemons have acknowledged the version, so that this daemon can learn it again after a
// restart.
func (s State) withConfiguration(e ConfigurationReceived) (State, []Effect) {
	if e.Source == s.fetchSource {
		s.fetchSource = ""
	}
	version := e.Assembly.Version()
	s.highest = max(s.highest, version)
	if version <= s.Latest().Version() {
		return s, nil
	}
	s.prepared = e.Assembly
	s = s.withEstablished(e.At).withPromoted(e.At)
	effects := s.heartbeatsToAll(e.At)
	s = s.withSent(effects, e.At)
	s, more := s.withFetch(e.At)
	return s, append(effects, more...)
}

func (s State) withConfirmation(e VersionConfirmed) State {
	s.readBackoff = minReadBackoff
	s.highest = max(s.highest, e.Version)
	if e.Version == s.highest {
		s = s.withConfirmedAt(e.RequestedAt)
	}
	return s.withEstablished(e.RequestedAt).withPromoted(e.RequestedAt)
}

func (s State) withConfirmedAt(at time.Time) State {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	return s
}

// withEstablished marks this daemon as established once the highest version that it knows of is at least the one that
// it had in force before a restart: the platform has confirmed that version since the start, or, after
// establishDelay, enough established peers have been heard from lately and every target has answered or is unreachable.
func (s State) withEstablished(at time.Time) State {
	if s.established {
		return s
	}
	if !s.confirmedAt.IsZero() && !s.confirmedAt.Before(s.started) {
		s.established = true
		return s
	}
	others := s.entryCount - 1
	establishedPeers := 0
	for _, p := range s.peers {
		if p.beat.IsEstablished() && !p.receivedAt.IsZero() && at.Sub(p.receivedAt) < aliveTimeout {
			establishedPeers++
		}
	}
	s.established = others > 0 && establishedPeers >= min(maxRequiredEstablished, others) &&
		at.Sub(s.started) >= establishDelay && s.hasAllResponses(at)
	return s
}

// hasAllResponses reports whether every target, any of which may have acknowledged this daemon's versions before a
// restart, has been heard from since the start or is unreachable.
func (s State) hasAllResponses(at time.Time) bool {
	for _, t := range s.targets(at) {
		if p := s.peers[t.name]; p.receivedAt.IsZero() && p.failures < unreachableAfter {
			return false
		}
	}
	return true
}

// withPromoted puts the prepared configuration in force if this daemon is established and enough targets have
// acknowledged the version; the first configuration after a start must also be the highest version known.
func (s State) withPromoted(at time.Time) State {
	version := s.prepared.Version()
	first := s.inForce.Version() == 0
	switch {
	case !s.established, version <= s.inForce.Version():
		return s
	case first && version < s.highest:
		return s
	case s.acks(version, at) < s.requiredAcks(at):
		return s
	}
	s.inForce = s.prepared
	return s
}

// acks returns how many targets have acknowledged a version by reporting it or a higher one; after a restart, this
// daemon learns the version from them.
func (s State) acks(version uint64, at time.Time) int {
	n := 0
	for _, t := range s.targets(at) {
		if s.peers[t.name].beat.HighestVersion() >= version {
			n++
		}
	}
	return n
}

// requiredAcks returns how many targets must have acknowledged a version before it is put in force: fewer than
// maxRequiredAcks where fewer targets are reachable, but at least one while there are targets, since a daemon that is
// cut off from all of them could not learn the version again after a restart.
func (s State) requiredAcks(at time.Time) int {
	targets := s.targets(at)
	n := 0
	for _, t := range targets {
		if s.peers[t.name].failures < unreachableAfter {
			n++
		}
	}
	return min(maxRequiredAcks, max(1, n), len(targets))
}
