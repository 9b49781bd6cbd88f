package conductor

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

// advance takes the next step of a switch that the reports allow.
func (s State) advance(now time.Duration) (State, []Effect) {
	own := s.views[s.self]
	leading := s.IsLeading()
	if !own.known || !leading && !s.isSilent(now) {
		return s, nil
	}
	if own.report.Epoch != s.epoch {
		s = s.forgotten(own.report.Epoch, now)
	}
	members, whole := s.members()
	if !whole {
		return s, nil
	}
	first := s.views[members[0]].report
	if s.phase != PhaseSettling && (!leading || s.isForeign(first)) {
		s.step = first.Held
		s = s.enter(PhaseSettling, now)
		if first.Held == 0 {
			return s.enter(PhaseIdle, now), nil
		}
		found := Noted{What: "held step found", Details: []any{"step", s.step, "epoch", s.epoch, "leading", leading}}
		s, effects := s.settle(members, now, leading)
		return s, append([]Effect{found}, effects...)
	}
	switch s.phase {
	case PhasePreparing:
		return s.prepare(members, now)
	case PhaseHolding:
		return s.hold(members, now)
	case PhaseArming:
		return s.arm(members, now)
	case PhaseReleasing:
		return s.release(members, now)
	case PhaseSettling:
		return s.settle(members, now, leading)
	}
	return s, nil
}

// isForeign reports whether a step is held that this process did not hold in the switch under way.
func (s State) isForeign(first rank.Report) bool {
	if first.Held == 0 {
		return false
	}
	switch s.phase {
	case PhaseHolding, PhaseArming, PhaseReleasing:
		return first.Held != s.step
	}
	return true
}

// prepare has every rank copy the map, and goes on once each was seen to hold its part of it.
func (s State) prepare(members []string, now time.Duration) (State, []Effect) {
	s, effects, done := s.prepareAll(members, now)
	if done {
		s.step = 0
		s = s.enter(PhaseHolding, now)
		return s.hold(members, now)
	}
	if now-s.since > giveUp {
		// Nothing is armed, so that a map that comes to be prepared later does no harm.
		effects = append(effects, Noted{What: "switch given up", Details: []any{"version", s.version, "phase", PhasePreparing}})
		s.version = s.views[members[0]].report.Map
		s = s.enter(PhaseIdle, now)
	}
	return s, effects
}

// prepareAll has every rank copy the wanted map, and reports whether each was seen to hold its part of it.
func (s State) prepareAll(members []string, now time.Duration) (State, []Effect, bool) {
	var effects []Effect
	done := true
	for _, m := range members {
		if !s.hasPrepared(s.views[m]) {
			done = false
			s, effects = s.give(m, rank.VerbPrepare, now, effects)
		}
	}
	return s, effects, done
}

// hold has the first rank hold a step that is still to come.
func (s State) hold(members []string, now time.Duration) (State, []Effect) {
	first := s.views[members[0]].report
	if first.Map == s.version {
		// Another process completed the switch meanwhile.
		return s.finished(members, now)
	}
	if s.step > 0 && first.Held == s.step {
		s = s.enter(PhaseArming, now)
		return s.arm(members, now)
	}
	if s.step <= first.Step {
		s.step = first.Step + lead
	}
	return s.give(members[0], rank.VerbHold, now, nil)
}

// arm has every rank switch as the held step begins, and releases that step once each was seen armed.
func (s State) arm(members []string, now time.Duration) (State, []Effect) {
	if s.views[members[0]].report.Step >= s.step {
		return s.finished(members, now)
	}
	var effects []Effect
	done := true
	for _, m := range members {
		r := s.views[m].report
		if r.Armed == s.version && r.ArmedStep == s.step {
			continue
		}
		done = false
		s, effects = s.give(m, rank.VerbArm, now, effects)
	}
	if !done {
		return s, effects
	}
	s = s.enter(PhaseReleasing, now)
	return s.release(members, now)
}

// release lets the held step begin.
func (s State) release(members []string, now time.Duration) (State, []Effect) {
	if s.views[members[0]].report.Held == s.step {
		return s.give(members[0], rank.VerbRelease, now, nil)
	}
	return s.finished(members, now)
}

// finished ends a switch whose step was released.
func (s State) finished(members []string, now time.Duration) (State, []Effect) {
	took := now - s.since
	if s.wanted != nil {
		s.layout = s.wanted
	}
	s = s.enter(PhaseIdle, now)
	return s, []Effect{Noted{What: "switch released", Details: []any{
		"version", s.version, "step", s.step, "epoch", s.epoch, "first_rank_at", s.views[members[0]].report.Step, "phase_took", took,
	}}}
}

// settle brings a group out of a held step that another process, or another start of this one, left: forward with what is
// armed if every rank can be, else with a map of this process's own, which kills orders that are still on their way.
func (s State) settle(members []string, now time.Duration, leading bool) (State, []Effect) {
	first := s.views[members[0]].report
	if first.Held != s.step || first.Held == 0 {
		s.layout, s.replacing = nil, false
		return s.enter(PhaseIdle, now), []Effect{Noted{What: "held step left", Details: []any{"step", s.step, "epoch", s.epoch}}}
	}
	found := s.armed(members)
	if found.version != 0 && (found.whole || found.prepared) {
		s.version = found.version
	}
	switch {
	case found.whole:
		return s.give(members[0], rank.VerbRelease, now, nil)
	case found.prepared:
		return s.giveWhere(members, rank.VerbArm, now, func(r rank.Report) bool { return r.Armed == 0 })
	case !leading:
		return s, nil
	case found.some:
		return s.giveWhere(members, rank.VerbDisarm, now, func(r rank.Report) bool { return r.Armed != 0 })
	}
	return s.replace(members, now)
}

// arming is how far the ranks of a group are armed for a held step.
type arming struct {
	// version is one that some rank is armed for, or that the first rank has prepared if none is, 0 if there is neither.
	version uint64
	// some says that a rank is armed, whole that all are for that version, prepared that all have it prepared and none is
	// armed for another.
	some, whole, prepared bool
}

// armed returns how far the ranks are armed for the held step.
func (s State) armed(members []string) arming {
	a := arming{whole: true, prepared: true}
	for _, m := range members {
		if r := s.views[m].report; r.Armed != 0 {
			a.version, a.some = r.Armed, true
		}
	}
	if first := s.views[members[0]].report; a.version == 0 && first.Prepared != first.Map {
		// A step is held only once all ranks have the next map prepared.
		a.version = first.Prepared
	}
	for _, m := range members {
		r := s.views[m].report
		a.whole = a.whole && r.Armed == a.version && r.ArmedStep == s.step
		a.prepared = a.prepared && r.Prepared == a.version && (r.Armed == 0 || r.Armed == a.version && r.ArmedStep == s.step)
	}
	a.whole, a.prepared = a.whole && a.version != 0, a.prepared && a.version != 0
	return a
}

// giveWhere gives an order to the ranks whose report asks for it.
func (s State) giveWhere(members []string, verb rank.Verb, now time.Duration, wants func(rank.Report) bool) (State, []Effect) {
	var effects []Effect
	for _, m := range members {
		if wants(s.views[m].report) {
			s, effects = s.give(m, verb, now, effects)
		}
	}
	return s, effects
}

// replace prepares a map of this process's own for the held step, equal to the one in use, so that nothing is copied;
// each rank that prepares it refuses all orders that were given before.
func (s State) replace(members []string, now time.Duration) (State, []Effect) {
	if s.layout == nil {
		return s.learnLayout(now, nil)
	}
	if !s.replacing {
		s.wanted, s.version, s.replacing = s.layout, s.nextVersion(members), true
	}
	s, effects, done := s.prepareAll(members, now)
	if !done {
		return s, effects
	}
	s.replacing = false
	s = s.enter(PhaseArming, now)
	s, more := s.arm(members, now)
	return s, append(effects, more...)
}
