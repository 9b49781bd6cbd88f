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
	list, known := s.ranks()
	if !isEnough(list, known) {
		return s, nil
	}
	held := s.holding(list).Held
	switch {
	case s.phase == PhaseSettling:
		return s.settle(list, now)
	case held != 0 && (!leading || s.isForeign(held)):
		return s.found(list, held, now)
	case !leading:
		return s.enter(PhaseIdle, now), nil
	}
	return s.lead(list, now)
}

// isEnough reports whether enough ranks are known to go on: all, or all but the first.
func isEnough(list []string, known int) bool {
	return known > 0 && (known == len(list) || known == len(list)-1 && list[0] == "")
}

// lead goes on with a switch of this process's own.
func (s State) lead(members []string, now time.Duration) (State, []Effect) {
	switch s.phase {
	case PhasePreparing:
		return s.prepare(members, now)
	case PhaseHolding:
		return s.hold(members, now)
	case PhaseArming:
		return s.arm(members, now)
	case PhaseReleasing:
		return s.release(members, now)
	}
	return s, nil
}

// isForeign reports whether a step is held that this process did not hold in the switch under way.
func (s State) isForeign(held uint64) bool {
	if held == 0 {
		return false
	}
	switch s.phase {
	case PhaseHolding, PhaseArming, PhaseReleasing:
		return held != s.step
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
		return s.givenUp(members, now)
	}
	return s, effects
}

// givenUp ends a switch of which nothing is armed, so that a map that comes to be prepared later does no harm; a hold that
// is still on its way is found later.
func (s State) givenUp(members []string, now time.Duration) (State, []Effect) {
	effects := []Effect{Noted{What: "switch given up", Details: []any{"version", s.version, "phase", s.phase}}}
	s.version = s.views[members[0]].report.Map
	return s.enter(PhaseIdle, now), effects
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

// hold has a rank hold a step that is still to come.
func (s State) hold(members []string, now time.Duration) (State, []Effect) {
	first, holding := s.views[members[0]].report, s.holding(members)
	switch {
	case first.Map == s.version:
		// Another process completed the switch meanwhile.
		return s.finished(members, now)
	case s.step > 0 && holding.Held == s.step:
		s = s.enter(PhaseArming, now)
		return s.arm(members, now)
	case s.isWithdrawn(members):
		return s.givenUp(members, now)
	}
	if at := max(first.Step, holding.Step); s.step <= at {
		s.step = max(at+lead, s.free)
		s.free = s.step + 1
	}
	return s.give(holder(members), rank.VerbHold, now, nil)
}

// isWithdrawn reports whether a rank can no longer be armed for the version of the switch under way.
func (s State) isWithdrawn(members []string) bool {
	for _, m := range others(members) {
		if r := s.views[m].report; r.Armed == 0 && r.Prepared > s.version {
			return true
		}
	}
	return false
}

// arm has every other rank switch as the held step begins, then the first, and releases that step once each was seen
// armed. Whoever sees that another rank can no longer be armed therefore knows that the first is not.
func (s State) arm(members []string, now time.Duration) (State, []Effect) {
	if s.views[members[0]].report.Step >= s.step {
		return s.finished(members, now)
	}
	if s.isWithdrawn(members) {
		return s.found(members, s.step, now)
	}
	isArmed := func(r rank.Report) bool { return r.Armed == s.version && r.ArmedStep == s.step }
	for _, list := range [][]string{others(members), members[:1]} {
		t, effects, missing := s.giveWhere(list, rank.VerbArm, now, func(r rank.Report) bool { return !isArmed(r) })
		if missing > 0 {
			return t, effects
		}
	}
	s = s.enter(PhaseReleasing, now)
	return s.release(members, now)
}

// release lets the held step begin.
func (s State) release(members []string, now time.Duration) (State, []Effect) {
	if s.holding(members).Held == s.step {
		return s.give(holder(members), rank.VerbRelease, now, nil)
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
