package conductor

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

// found begins to bring a group out of a held step that another process, or another start of this one, left, or whose
// switch another process withdrew. The rank that holds it had the map prepared, so that no version above the highest
// that is reported waits for the step.
func (s State) found(list []string, step uint64, now time.Duration) (State, []Effect) {
	s.step, s.dead, s.filling = step, s.highest(others(list)), false
	s = s.enter(PhaseSettling, now)
	noted := Noted{What: "held step found", Details: []any{"step", step, "epoch", s.epoch, "leading", s.IsLeading(), "newest", s.dead}}
	s, effects := s.settle(list, now)
	return s, append([]Effect{noted}, effects...)
}

// settle brings a group out of a held step without a look at the first rank, which may be out of reach, unless it is all
// that is left to arm: forward if another rank is armed and all can be, else back.
func (s State) settle(list []string, now time.Duration) (State, []Effect) {
	if held := s.holding(list).Held; held != s.step || held == 0 {
		s.layout, s.filling = nil, false
		return s.enter(PhaseIdle, now), []Effect{Noted{What: "held step left", Details: []any{"step", s.step, "epoch", s.epoch}}}
	}
	version, armed, can := s.arming(others(list))
	switch {
	case armed > 0 && armed == len(others(list)):
		return s.complete(list, version, now)
	case armed > 0 && can:
		s.version = version
		s, effects, _ := s.giveWhere(others(list), rank.VerbArm, now, func(r rank.Report) bool { return r.Armed == 0 })
		return s, effects
	}
	return s.withdraw(list, now)
}

// arming returns the version that some ranks are armed for at the held step, 0 for none, how many are, and whether the
// rest can still be.
func (s State) arming(list []string) (version uint64, armed int, can bool) {
	for _, m := range list {
		if r := s.views[m].report; r.Armed != 0 && r.ArmedStep == s.step {
			version = r.Armed
			armed++
		}
	}
	can = !slices.ContainsFunc(list, func(m string) bool {
		r := s.views[m].report
		return r.Armed == 0 && r.Prepared != version || r.Armed != 0 && (r.Armed != version || r.ArmedStep != s.step)
	})
	return version, armed, can
}

// complete arms the first rank, as all others are, and releases the step once it was seen armed.
func (s State) complete(list []string, version uint64, now time.Duration) (State, []Effect) {
	s.version = version
	if r := s.views[list[0]].report; r.Armed == version && r.ArmedStep == s.step {
		return s.give(holder(list), rank.VerbRelease, now, nil)
	}
	if list[0] == "" {
		return s, nil
	}
	return s.give(list[0], rank.VerbArm, now, nil)
}

// withdraw has a version prepared that is newer than the one that waits for the step, on every rank but the first, and
// releases the step once each was seen to have one: no order on its way can arm them any more, and the first rank is not
// armed, as the others never all were. Ranks that are armed are disarmed once one was seen that no longer can be.
func (s State) withdraw(list []string, now time.Duration) (State, []Effect) {
	rest := others(list)
	s, effects, known := s.fill(list, now)
	if !known {
		return s, effects
	}
	// A rank that is armed for a later step took the map for that after the one that waits for this step.
	isSafe := func(m string) bool {
		r := s.views[m].report
		return r.Armed == 0 && r.Prepared > s.dead || r.Armed != 0 && r.ArmedStep > s.step
	}
	if !slices.ContainsFunc(rest, isSafe) {
		return s.prepareWhere(rest, now, effects)
	}
	s, more, _ := s.giveWhere(rest, rank.VerbDisarm, now, func(r rank.Report) bool { return r.Armed != 0 && r.ArmedStep == s.step })
	s, effects = s.prepareWhere(rest, now, append(effects, more...))
	if !slices.ContainsFunc(rest, func(m string) bool { return !isSafe(m) }) {
		return s.give(holder(list), rank.VerbRelease, now, effects)
	}
	return s, effects
}

// prepareWhere has the ranks prepare the wanted map that are not armed and have no version above the dead one.
func (s State) prepareWhere(list []string, now time.Duration, effects []Effect) (State, []Effect) {
	s, more, _ := s.giveWhere(list, rank.VerbPrepare, now, func(r rank.Report) bool { return r.Armed == 0 && r.Prepared <= s.dead })
	return s, append(effects, more...)
}

// fill chooses the version with which a switch is withdrawn, and reports whether it could: a map that gives every rank what
// it has in use, so that nothing is copied, and the first rank what no other has.
func (s State) fill(list []string, now time.Duration) (State, []Effect, bool) {
	if s.filling {
		return s, nil, true
	}
	from := min(1, len(list)-1)
	layout := s.inUse(list, from)
	if layout == nil {
		s, effects := s.verify(list[from:], now, nil)
		return s, effects, false
	}
	for i := range layout {
		layout[i][0] = append(layout[i][0], missing(layout[i], s.shape.Experts)...)
	}
	s.wanted, s.version, s.filling = layout, s.nextVersion(list), true
	return s, []Effect{Noted{What: "switch withdrawn", Details: []any{"step", s.step, "epoch", s.epoch, "version", s.version}}}, true
}

// missing returns the experts of a set that no rank holds.
func missing(ranks [][]int, experts int) []int {
	held := make([]bool, experts)
	for _, list := range ranks {
		for _, e := range list {
			if e < experts {
				held[e] = true
			}
		}
	}
	var list []int
	for e, there := range held {
		if !there {
			list = append(list, e)
		}
	}
	return list
}

// giveWhere gives an order to the ranks whose report asks for it, and returns how many those are.
func (s State) giveWhere(list []string, verb rank.Verb, now time.Duration, wants func(rank.Report) bool) (State, []Effect, int) {
	var effects []Effect
	n := 0
	for _, m := range list {
		if wants(s.views[m].report) {
			s, effects = s.give(m, verb, now, effects)
			n++
		}
	}
	return s, effects, n
}
