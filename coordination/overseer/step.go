package overseer

import (
	"maps"
	"time"

	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// Step returns the state after an event, and what has to be done.
func Step(s State, event Event) (State, []Effect) {
	switch e := event.(type) {
	case Configured:
		return s.configured(e.Table, e.Asked)
	case Confirmed:
		return s.confirmedAt(e.Asked), nil
	case RunnersListed:
		s.runnersAsOf, s.runnersLast = max(s.runnersAsOf, e.Revision), max(s.runnersLast, s.runnersAsOf)
		return s.runnersListed(e.Runners, e.At)
	case RunnersChanged:
		s.runnersAsOf = max(s.runnersAsOf, e.Revision)
		for _, c := range e.Changes {
			s.runnersLast = max(s.runnersLast, c.Revision)
		}
		return s.runnersChanged(e.Changes, e.At)
	case StoreLost:
		return s.storeLost(e.At)
	case PeersListed:
		return s.peersListed(e.Peers, e.At), nil
	case PeersChanged:
		return s.peersChanged(e.Changes, e.At), nil
	case Heard:
		return s.heard(e.Beat, e.At), nil
	case Crashed:
		return s.crashed(e)
	case Tick:
		return s.forgetCrashes(e.At).tick(e.At)
	case Leave:
		s.leaving = true
		return s, []Effect{Noted{What: "entry leaves"}}
	}
	return s, nil
}

// configured takes in a configuration that is not older than the one in force.
func (s State) configured(t routing.Table, asked time.Duration) (State, []Effect) {
	if s.known && t.Version() < s.table.Version() {
		return s, []Effect{Noted{What: "older configuration ignored", Details: []any{"version", t.Version(), "held", s.table.Version()}}}
	}
	var effects []Effect
	if !s.known || t.Version() > s.table.Version() {
		effects = []Effect{Noted{What: "configuration in force", Details: []any{"version", t.Version(), "before", s.table.Version()}}}
		s.table, s.known = t, true
	}
	return s.confirmedAt(asked), effects
}

func (s State) confirmedAt(asked time.Duration) State {
	if s.known {
		s.confirmed = max(s.confirmed, asked)
	}
	return s
}

func (s State) storeLost(at time.Duration) (State, []Effect) {
	if s.lost {
		return s, nil
	}
	s.lost, s.lostSince = true, at
	return s, []Effect{Noted{What: "store lost"}}
}

// answered notes that the store answers.
func (s State) answered(at time.Duration) (State, []Effect) {
	if !s.lost {
		return s, nil
	}
	s.lost = false
	if at-s.lostSince >= outage {
		s.returned = at
	}
	return s, []Effect{Noted{What: "store answers", Details: []any{"after", at - s.lostSince}}}
}

// lapsed reports whether a registration that is missing now may have lapsed while the store was away.
func (s State) lapsed(at time.Duration) bool { return s.returned > 0 && at-s.returned < returnTime }

func (s State) runnersListed(list []runner.Runner, at time.Duration) (State, []Effect) {
	s, effects := s.answered(at)
	next := runner.NewSet(list...)
	s.doubts = maps.Clone(s.doubts)
	for id, d := range s.doubts {
		if _, back := next.Runner(id); back {
			delete(s.doubts, id)
		} else {
			next = next.With(d.runner)
		}
	}
	if s.lapsed(at) {
		for _, r := range s.runners.All() {
			if _, there := next.Runner(r.ID()); !there && r.IsReady() {
				s.doubts[r.ID()] = doubt{runner: r, until: s.returned + returnTime}
				next = next.With(r)
			}
		}
	}
	s.runners, s.listed = next, true
	return s, append(effects, Noted{What: "runners listed", Details: []any{"runners", next.Len(), "in doubt", len(s.doubts)}})
}

func (s State) runnersChanged(changes []listing.Change[runner.Runner], at time.Duration) (State, []Effect) {
	s, effects := s.answered(at)
	if len(changes) == 0 {
		return s, effects
	}
	s.doubts = maps.Clone(s.doubts)
	for _, c := range changes {
		old, there := s.runners.Runner(c.Name)
		switch {
		case !c.Removed && c.Valid:
			delete(s.doubts, c.Name)
			s.runners = s.runners.With(c.Item)
			effects = append(effects, Noted{What: "runner registered", Details: []any{
				"runner", c.Name, "service", c.Item.Service(), "address", c.Item.Address(), "ready", c.Item.IsReady(),
			}})
		case there && c.Removed && old.IsReady() && s.lapsed(at):
			s.doubts[c.Name] = doubt{runner: old, until: s.returned + returnTime}
			effects = append(effects, Noted{What: "runner in doubt", Details: []any{"runner", c.Name}})
		case there:
			s.runners = s.runners.Without(c.Name)
			effects = append(effects, Noted{What: "runner gone", Details: []any{"runner", c.Name, "service", old.Service()}})
		}
	}
	return s, effects
}

func (s State) peersListed(list []peer.Peer, at time.Duration) State {
	peers := make(map[string]entry, len(list))
	for _, p := range list {
		if p.Name != s.self.Name {
			peers[p.Name] = s.merged(p, at)
		}
	}
	s.peers = peers
	return s
}

// merged returns an entry as registered now with what was heard of the same start.
func (s State) merged(p peer.Peer, at time.Duration) entry {
	e, there := s.peers[p.Name]
	if !there || e.peer.Start != p.Start {
		return entry{peer: p, since: at}
	}
	e.peer = p
	return e
}

func (s State) peersChanged(changes []listing.Change[peer.Peer], at time.Duration) State {
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

func (s State) heard(b peer.Beat, at time.Duration) State {
	e, there := s.peers[b.Name]
	if !there || b.Start != e.peer.Start {
		return s
	}
	s.peers = maps.Clone(s.peers)
	e.beat, e.heard = b, at
	s.peers[b.Name] = e
	return s.relayed(b, at).toldOfCrashes(b, at)
}

// relayed takes in how new another entry's knowledge of the configuration in force is. That entry sent its beat later than
// it heard this one's, so that its age counts from there on this entry's own clock, however long the beat was on its way. An
// echo of an earlier start, whose clock may have been another, says nothing; nor does one that would be ahead of time.
func (s State) relayed(b peer.Beat, at time.Duration) State {
	if !s.known || b.Echo == 0 || b.EchoStart != s.self.Start || b.Version != s.table.Version() {
		return s
	}
	confirmed := b.Echo + b.Held - b.Age
	if confirmed > at {
		return s
	}
	return s.confirmedAt(confirmed)
}

// refresh decides whether the store has to be asked anew, as another entry knows more or nobody confirms what is known.
func (s State) refresh(at time.Duration) (State, []Effect) {
	var r Refresh
	for _, b := range s.Beats(at) {
		r.Config = r.Config || s.known && b.Version > s.table.Version()
		r.Runners = r.Runners || s.listed && b.Runners > s.runnersAsOf
	}
	switch {
	case !r.Config && !r.Runners:
		s.behind = 0
	case s.behind == 0:
		s.behind, r = at, Refresh{}
	case at-s.behind < behindTime:
		r = Refresh{}
	}
	r.Config = r.Config || s.known && s.Age(at) > s.relayedAge()
	if r == (Refresh{}) || at-s.refreshed < refreshEvery {
		return s, nil
	}
	s.refreshed = at
	return s, []Effect{r}
}

// tick asks the store anew where that is due, and drops runners whose registration did not come back and entries that
// are gone for good.
func (s State) tick(at time.Duration) (State, []Effect) {
	s, effects := s.refresh(at)
	for id, d := range s.doubts {
		if at < d.until {
			continue
		}
		s.doubts = maps.Clone(s.doubts)
		delete(s.doubts, id)
		s.runners = s.runners.Without(id)
		effects = append(effects, Noted{What: "runner gone", Details: []any{"runner", id, "service", d.runner.Service()}})
	}
	if fresh := s.IsFresh(at); fresh != s.fresh {
		s.fresh = fresh
		effects = append(effects, Noted{What: "configuration age changed", Details: []any{"fresh", fresh, "age", s.Age(at)}})
	}
	for name, e := range s.peers {
		if at-max(e.heard, e.since) > forgetAfter && s.isFirst(at) {
			s.peers = maps.Clone(s.peers)
			delete(s.peers, name)
			effects = append(effects, Forget{Name: name}, Noted{What: "entry forgotten", Details: []any{"entry", name}})
		}
	}
	return s, effects
}

// isFirst reports whether this entry is the one that cleans up: the first by name of those that are heard.
func (s State) isFirst(at time.Duration) bool {
	for _, b := range s.Beats(at) {
		if b.Name < s.self.Name {
			return false
		}
	}
	return true
}
