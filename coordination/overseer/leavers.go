package overseer

import (
	"maps"
	"time"

	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	// leaverRetention is how long a runner that said that it leaves gets no requests although it stays registered as ready.
	leaverRetention = 10 * time.Minute
	// rumourRetention is the same for a runner of which another entry reports it, counted from the last report.
	rumourRetention = 5 * time.Second
	// maxLeavers bounds the runners in one heartbeat.
	maxLeavers = 64
)

// leaver is a runner that said that it leaves.
type leaver struct {
	// startedAt tells its start from a later one under the same identifier.
	startedAt int64
	until     time.Duration
	// isOwn says that it told this entry.
	isOwn bool
}

// withLeaver notes that a runner said that it leaves: it gets no further requests, whatever the store says.
func (s State) withLeaver(e RunnerLeaves) (State, []Effect) {
	r, found := s.runners.Runner(e.Runner)
	if known := s.leavers[e.Runner]; !found || known.isOwn || known == (leaver{}) && !r.IsReady() {
		return s, nil
	}
	s = s.withLeaverUntil(r, leaver{startedAt: r.StartedAt(), until: e.At + leaverRetention, isOwn: true})
	return s, []Effect{Log{Message: "runner said that it leaves; no more requests go to it", Args: []any{
		"runner", e.Runner, "service", r.Service(),
	}}}
}

// withPeerLeavers notes the runners of which another entry reports that they said that they leave.
func (s State) withPeerLeavers(b peer.Heartbeat, at time.Duration) State {
	if len(b.Leavers) == 0 {
		return s
	}
	keys := make(map[uint32]bool, len(b.Leavers))
	for _, key := range b.Leavers {
		keys[key] = true
	}
	for _, r := range s.runners.All() {
		known, isKnown := s.leavers[r.ID()]
		if keys[runner.Key(r.ID())] && !known.isOwn && (isKnown || r.IsReady()) {
			s = s.withLeaverUntil(r, leaver{startedAt: r.StartedAt(), until: at + rumourRetention})
		}
	}
	return s
}

func (s State) withLeaverUntil(r runner.Runner, l leaver) State {
	s.leavers = maps.Clone(s.leavers)
	if s.leavers == nil {
		s.leavers = map[string]leaver{}
	}
	s.leavers[r.ID()] = l
	s.runners = s.runners.WithRunners(r.WithState(runner.StateLeaving))
	return s
}

// withRegistered returns the state with a runner as the store has it, marked as leaving if it said so since it started. Once
// the store says so too, there is nothing more to remember.
func (s State) withRegistered(r runner.Runner) State {
	if l, found := s.leavers[r.ID()]; found {
		if r.IsReady() && l.startedAt == r.StartedAt() {
			r = r.WithState(runner.StateLeaving)
		} else {
			s.leavers = maps.Clone(s.leavers)
			delete(s.leavers, r.ID())
		}
	}
	s.runners = s.runners.WithRunners(r)
	return s
}

// withLeaversMarked marks the runners that said that they leave, after all were listed.
func (s State) withLeaversMarked() State {
	for id := range s.leavers {
		if r, found := s.runners.Runner(id); found {
			s = s.withRegistered(r)
		}
	}
	return s
}

// withoutExpiredLeavers forgets the runners that are gone, and takes those back that stay registered as ready for too long,
// or that no other entry reports any longer.
func (s State) withoutExpiredLeavers(at time.Duration) State {
	for id, l := range s.leavers {
		r, found := s.runners.Runner(id)
		if found && at < l.until {
			continue
		}
		s.leavers = maps.Clone(s.leavers)
		delete(s.leavers, id)
		if found {
			s.runners = s.runners.WithRunners(r.WithState(runner.StateReady))
		}
	}
	return s
}

// leaverKeys returns the short keys of the runners that told this entry that they leave.
func (s State) leaverKeys() []uint32 {
	var keys []uint32
	for id, l := range s.leavers {
		if l.isOwn && len(keys) < maxLeavers {
			keys = append(keys, runner.Key(id))
		}
	}
	return keys
}
