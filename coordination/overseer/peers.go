package overseer

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
)

// withPeersListed takes in a listing of all entries, unless it is older than what is known.
func (s State) withPeersListed(e PeersListed) State {
	known := s.peersAt.asOf
	next, isNews := s.peersAt.withListing(e.Position, e.Unconfirmed)
	s.peersAt = next
	if !isNews {
		return s
	}
	isRestored := s.hasPeers && s.isRestored(known, e.Position, e.At)
	peers := make(map[string]*entry, len(e.Peers))
	for _, p := range e.Peers {
		if p.Name != s.self.Name {
			peers[p.Name] = new(s.merged(p, e.At))
		}
	}
	if isRestored {
		peers = s.withPeersRestored(peers, e.At)
	}
	for name, kept := range s.others() {
		if _, found := peers[name]; !found && e.At < kept.keptUntil {
			peers[name] = &kept
		}
	}
	isLost := s.hasPeers && e.Position.Era > known.Era
	s.peers, s.hasPeers = peers, true
	s.history.isJoined = s.history.isJoined || len(peers) == 0
	return s.withOwnRegistration(slices.ContainsFunc(e.Peers, s.isOwn), isLost, e.At)
}

// merged returns an entry with a new registration, keeping the last heartbeat if it came from the same start.
func (s State) merged(p peer.Peer, at time.Duration) entry {
	e, found := s.find(p.Name)
	if !found || e.peer.Start != p.Start {
		return entry{peer: p, listedAt: at}
	}
	e.peer, e.keptUntil = p, 0
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
			s = s.withOwnRegistration(!c.Removed && c.Valid && s.isOwn(c.Item), false, at)
		case c.Removed || !c.Valid:
			delete(s.peers, c.Name)
		default:
			s.peers[c.Name] = new(s.merged(c.Item, at))
		}
	}
	return s
}

// find returns another entry by its name, and false if it is not known.
func (s State) find(name string) (entry, bool) {
	if e, found := s.peers[name]; found {
		return *e, true
	}
	return entry{}, false
}

// others returns the other entries by their names.
func (s State) others() iter.Seq2[string, entry] {
	return func(yield func(string, entry) bool) {
		for name, e := range s.peers {
			if !yield(name, *e) {
				return
			}
		}
	}
}

// withEntry returns the state with another entry replaced.
func (s State) withEntry(e entry) State {
	s.peers = withValue(s.peers, e.peer.Name, &e)
	return s
}
