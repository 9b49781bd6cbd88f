package conductor

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

// startRecovery begins to recover from a held step that another process, or an earlier start of this one, left held,
// or whose switch another process rolled back. The rank that holds the step prepared the map before, so that no
// version above the highest reported one waits for the step.
func (s State) startRecovery(list []string, step uint64, now time.Duration) (State, []Effect) {
	s.heldStep, s.maxPending, s.rollingBack = step, s.highestVersion(followers(list)), false
	s = s.withPhase(PhaseRecovering, now)
	message := Log{Message: "recovering a held step",
		Args: []any{"step", step, "epoch", s.epoch, "leading", s.IsLeading(), "newest", s.maxPending}}
	s, effects := s.recoverHeldStep(list, now)
	return s, append([]Effect{message}, effects...)
}

// recoverHeldStep ends a held step: it rolls the switch forward if a follower is armed and the others can still be,
// and back otherwise, or if rank 0 is seen that can no longer be armed. It does not depend on rank 0, whose VM may be unreachable, unless
// rank 0 is the only one left to arm.
func (s State) recoverHeldStep(list []string, now time.Duration) (State, []Effect) {
	if held := s.holderReport(list).HeldStep; held != s.heldStep || held == 0 {
		s.layout, s.rollingBack = nil, false
		return s.withPhase(PhaseIdle, now), []Effect{Log{Message: "recovery ended: step no longer held",
			Args: []any{"step", s.heldStep, "epoch", s.epoch}}}
	}
	version, armed, canArm := s.armingState(followers(list))
	switch {
	case s.isUnarmable(list[0]):
		return s.rollBack(list, now)
	case armed > 0 && armed == len(followers(list)):
		return s.rollForward(list, version, now)
	case armed > 0 && canArm:
		s.version = version
		s, effects, _ := s.sendOrders(followers(list), rank.VerbArm, now, func(r rank.Report) bool { return r.ArmedVersion == 0 })
		return s, effects
	}
	return s.rollBack(list, now)
}

// armingState returns the version that some ranks are armed for at the held step, 0 for none, the number of these
// ranks, and whether the others can still be armed for it.
func (s State) armingState(list []string) (version uint64, armed int, canArm bool) {
	for _, m := range list {
		if r := s.view(m).report; r.ArmedVersion != 0 && r.ArmedStep == s.heldStep {
			version = r.ArmedVersion
			armed++
		}
	}
	canArm = !slices.ContainsFunc(list, func(m string) bool {
		r := s.view(m).report
		return r.ArmedVersion == 0 && r.PreparedVersion != version ||
			r.ArmedVersion != 0 && (r.ArmedVersion != version || r.ArmedStep != s.heldStep)
	})
	return version, armed, canArm
}

// rollForward arms rank 0 after all followers, and releases the step once rank 0 is seen armed.
func (s State) rollForward(list []string, version uint64, now time.Duration) (State, []Effect) {
	s.version = version
	if r := s.view(list[0]).report; r.ArmedVersion == version && r.ArmedStep == s.heldStep {
		return s.sendOrder(holder(list), rank.VerbRelease, now, nil)
	}
	if list[0] == "" {
		return s, nil
	}
	return s.sendOrder(list[0], rank.VerbArm, now, nil)
}

// rollBack has every follower prepare a newer version than the one that waits for the step, and releases the step once
// each of them is seen to have one. Then no order in flight can arm them any more, and rank 0 is not armed, as the
// followers were never all armed. Armed ranks are disarmed only after one rank is seen that can no longer be armed.
func (s State) rollBack(list []string, now time.Duration) (State, []Effect) {
	rest := followers(list)
	s, effects, known := s.chooseRollbackMap(list, now)
	if !known {
		return s, effects
	}
	if !s.isUnarmable(list[0]) && !slices.ContainsFunc(rest, s.isUnarmable) {
		return s.prepareNewer(rest, now, effects)
	}
	s, more, _ := s.sendOrders(rest, rank.VerbDisarm, now, func(r rank.Report) bool {
		return r.ArmedVersion != 0 && r.ArmedStep == s.heldStep
	})
	s, effects = s.prepareNewer(rest, now, append(effects, more...))
	if !slices.ContainsFunc(rest, func(m string) bool { return !s.isUnarmable(m) }) {
		return s.sendOrder(holder(list), rank.VerbRelease, now, effects)
	}
	return s, effects
}

// isUnarmable reports whether a rank can no longer be armed for the version that waits for the held step, as it has prepared a newer one. A
// rank that is armed for a later step prepared its map after that version.
func (s State) isUnarmable(name string) bool {
	r := s.view(name).report
	return r.ArmedVersion == 0 && r.PreparedVersion > s.maxPending || r.ArmedVersion != 0 && r.ArmedStep > s.heldStep
}

// prepareNewer has those ranks prepare the target map that are not armed and have no version above maxPending.
func (s State) prepareNewer(list []string, now time.Duration, effects []Effect) (State, []Effect) {
	s, more, _ := s.sendOrders(list, rank.VerbPrepare, now, func(r rank.Report) bool {
		return r.ArmedVersion == 0 && r.PreparedVersion <= s.maxPending
	})
	return s, append(effects, more...)
}

// chooseRollbackMap sets the version and the map with which a switch is rolled back, and reports whether they are set.
// The map gives every follower what it has in use, so that nothing is copied, and rank 0 the experts that no other
// rank holds. The holdings of followers are requested where they are unknown.
func (s State) chooseRollbackMap(list []string, now time.Duration) (State, []Effect, bool) {
	if s.rollingBack {
		return s, nil, true
	}
	from := min(1, len(list)-1)
	layout := s.layoutInUse(list, from)
	if layout == nil {
		s, effects := s.fetchHoldings(list[from:], now, nil)
		return s, effects, false
	}
	for i := range layout {
		layout[i][0] = append(layout[i][0], missingExperts(layout[i], s.shape.Experts)...)
	}
	s = s.withTarget(layout, list)
	s.rollingBack = true
	return s, []Effect{Log{Message: "rolling back a switch: preparing a newer version",
		Args: []any{"step", s.heldStep, "epoch", s.epoch, "version", s.version}}}, true
}

// missingExperts returns the experts of a set that no rank holds.
func missingExperts(ranks [][]int, experts int) []int {
	held := make([]bool, experts)
	for _, list := range ranks {
		for _, e := range list {
			if e < experts {
				held[e] = true
			}
		}
	}
	var list []int
	for e, isHeld := range held {
		if !isHeld {
			list = append(list, e)
		}
	}
	return list
}

// sendOrders sends an order to the ranks whose reports match, and returns how many match.
func (s State) sendOrders(list []string, verb rank.Verb, now time.Duration, matches func(rank.Report) bool) (State, []Effect, int) {
	var effects []Effect
	n := 0
	for _, m := range list {
		if matches(s.view(m).report) {
			s, effects = s.sendOrder(m, verb, now, effects)
			n++
		}
	}
	return s, effects, n
}
