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
	// rumourRetention is how long after that was first known a runner gets no requests of which another entry reports that it
	// leaves, and reportTime for how long it is reported, by whoever knows.
	rumourRetention = 5 * time.Second
	reportTime      = 3 * time.Second
	// maxLeavers bounds the runners in one heartbeat.
	maxLeavers = 64
)

// leaver is a runner that leaves, although it is registered as ready.
type leaver struct {
	// startedAt tells its start from a later one under the same identifier.
	startedAt int64
	// knownAt is when its leaving was first known, and until when it gets no requests.
	knownAt, until time.Duration
	// isOwn says that it told this entry, and isRestored that only a restored store's copy says that it is ready.
	isOwn, isRestored bool
}

// withLeaver notes that a runner said that it leaves: it gets no further requests, whatever the store says.
func (s State) withLeaver(e RunnerLeaves) (State, []Effect) {
	r, found := s.runners.Runner(e.Runner)
	if known, isKnown := s.leavers[e.Runner]; !found || known.isOwn || !isKnown && !r.IsReady() {
		return s, nil
	}
	s = s.withLeaverUntil(r, leaver{startedAt: r.StartedAt(), knownAt: e.At, until: e.At + leaverRetention, isOwn: true})
	return s, []Effect{Log{Message: "runner said that it leaves; no more requests go to it", Args: []any{
		"runner", e.Runner, "service", r.Service(),
	}}}
}

// withPeerLeavers notes the runners of which another entry reports that they leave. That ends a while after it was first
// known, however it was passed on, so that a report which is wrong or old does no lasting harm.
func (s State) withPeerLeavers(b peer.Heartbeat, at time.Duration) State {
	for _, l := range b.Leavers {
		r, found := s.runners.ByKey(l.Runner)
		known, isKnown := s.leavers[r.ID()]
		if !found || known.isOwn || !isKnown && !r.IsReady() {
			continue
		}
		since := at - l.Age
		if until := since + rumourRetention; until > max(at, known.until) {
			s = s.withLeaverUntil(r, leaver{startedAt: r.StartedAt(), knownAt: since, until: until})
		}
	}
	return s
}

func (s State) withLeaverUntil(r runner.Runner, l leaver) State {
	s.leavers = withValue(s.leavers, r.ID(), l)
	return s.withRunnerSet(s.runners.WithRunners(r.WithState(runner.StateLeaving)))
}

// withRegistered returns the state with a runner as the store has it, marked as leaving if that is known since it started.
// Once the store says so too, there is nothing more to remember.
func (s State) withRegistered(r runner.Runner) State {
	if l, found := s.leavers[r.ID()]; found {
		if r.IsReady() && l.startedAt == r.StartedAt() {
			r = r.WithState(runner.StateLeaving)
		} else {
			s.leavers = maps.Clone(s.leavers)
			delete(s.leavers, r.ID())
		}
	}
	return s.withRunnerSet(s.runners.WithRunners(r))
}

// withoutRestoredLeaver forgets that a runner is ready only by a restored store's copy, as its registration was written again.
func (s State) withoutRestoredLeaver(id string) State {
	if s.leavers[id].isRestored {
		s.leavers = withoutKey(s.leavers, id)
	}
	return s
}

// withLeaversMarked marks the runners that are known to leave, after all were listed.
func (s State) withLeaversMarked() State {
	for id := range s.leavers {
		if r, found := s.runners.Runner(id); found {
			s = s.withRegistered(r)
		}
	}
	return s
}

// withDrained notes that the store told that a runner which took new work leaves or is gone.
func (s State) withDrained(r runner.Runner, at time.Duration) State {
	if !r.IsReady() {
		return s
	}
	s.drained = withValue(s.drained, runner.Key(r.ID()), at)
	return s
}

// withDrainedSince notes which runners leave or are gone now that took new work in an earlier set.
func (s State) withDrainedSince(before runner.Set, at time.Duration) State {
	for _, old := range before.All() {
		r, found := s.runners.Runner(old.ID())
		if !found {
			s = s.withRemoval(old, at)
		}
		if !found || !r.IsReady() {
			s = s.withDrained(old, at)
		}
	}
	return s
}

// withoutExpiredLeavers forgets the runners that are gone, and takes those back that stay registered as ready for too long.
func (s State) withoutExpiredLeavers(at time.Duration) State {
	for id, l := range s.leavers {
		r, found := s.runners.Runner(id)
		if found && at < l.until {
			continue
		}
		s.leavers = withoutKey(s.leavers, id)
		if found {
			s = s.withRunnerSet(s.runners.WithRunners(r.WithState(runner.StateReady)))
		}
	}
	for key, since := range s.drained {
		if at-since >= reportTime {
			s.drained = withoutKey(s.drained, key)
		}
	}
	return s
}

// leaversToReport returns the runners to report to other entries as leaving. Those that told this entry, and those that a restored store
// holds as ready although they left, are reported anew each time, those that others or the store told of only as old as that is.
func (s State) leaversToReport(now time.Duration) []peer.Leaver {
	var list []peer.Leaver
	add := func(key uint32, age time.Duration) {
		if age < reportTime && len(list) < maxLeavers {
			list = append(list, peer.Leaver{Runner: key, Age: age})
		}
	}
	for id, l := range s.leavers {
		if l.isOwn || l.isRestored {
			add(runner.Key(id), 0)
		} else {
			add(runner.Key(id), now-l.knownAt)
		}
	}
	for key, since := range s.drained {
		add(key, now-since)
	}
	return list
}
