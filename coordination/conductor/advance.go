package conductor

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

// advance continues a switch or a recovery as far as the reports allow. Only the leader acts, or a process that takes
// over.
func (s State) advance(now time.Duration) (State, []Effect) {
	own := s.view(s.self)
	leading := s.IsLeading()
	if !own.known || !leading && !s.isStalled(now) {
		return s, nil
	}
	if own.report.Epoch != s.epoch {
		s = s.withEpoch(own.report.Epoch, now)
	}
	list, known := s.ranks()
	if !hasRequiredRanks(list, known) {
		return s, nil
	}
	held := s.holderReport(list).HeldStep
	switch {
	case s.phase == PhaseRecovering:
		return s.recoverHeldStep(list, now)
	case held != 0 && (!leading || s.isForeignHold(held)):
		return s.startRecovery(list, held, now)
	case !leading:
		return s.withPhase(PhaseIdle, now), nil
	}
	return s.continueSwitch(list, now)
}

// hasRequiredRanks reports whether enough ranks are known to continue: all, or all but rank 0.
func hasRequiredRanks(list []string, known int) bool {
	return known > 0 && (known == len(list) || known == len(list)-1 && list[0] == "")
}

// continueSwitch continues the switch that this process leads, or begins the next one.
func (s State) continueSwitch(members []string, now time.Duration) (State, []Effect) {
	switch s.phase {
	case PhaseIdle:
		if list, complete := s.members(); complete {
			return s.startPending(list, now)
		}
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

// isForeignHold reports whether a step is held that this process did not hold in the switch under way.
func (s State) isForeignHold(held uint64) bool {
	if held == 0 {
		return false
	}
	switch s.phase {
	case PhaseHolding, PhaseArming, PhaseReleasing:
		return held != s.heldStep
	}
	return true
}

// prepare has every rank copy the target map, and continues with hold once all copies are verified.
func (s State) prepare(members []string, now time.Duration) (State, []Effect) {
	s, effects, done := s.prepareAll(members, now)
	if done {
		s.heldStep = 0
		s = s.withPhase(PhaseHolding, now)
		return s.hold(members, now)
	}
	if now-s.phaseSince > prepareTimeout {
		return s.abandon(members, now)
	}
	return s, effects
}

// abandon ends a switch for which no rank is armed, so that a copy that completes later does no harm. A hold order
// that is still in flight is recovered once it shows in a report.
func (s State) abandon(members []string, now time.Duration) (State, []Effect) {
	effects := []Effect{Log{Message: "abandoned a switch: the map in use stays",
		Args: []any{"version", s.version, "phase", s.phase}}}
	s.version = s.view(members[0]).report.MapVersion
	return s.withPhase(PhaseIdle, now), effects
}

// prepareAll has every rank copy the target map, and reports whether all copies are verified.
func (s State) prepareAll(members []string, now time.Duration) (State, []Effect, bool) {
	var effects []Effect
	done := true
	for _, m := range members {
		if !s.hasPrepared(s.view(m)) {
			done = false
			s, effects = s.sendOrder(m, rank.VerbPrepare, now, effects)
		}
	}
	return s, effects, done
}

// hold has a rank hold a step that has not begun.
func (s State) hold(members []string, now time.Duration) (State, []Effect) {
	first, holding := s.view(members[0]).report, s.holderReport(members)
	switch {
	case first.MapVersion == s.version:
		// Another process completed the switch meanwhile.
		return s.finish(members, now)
	case s.heldStep > 0 && holding.HeldStep == s.heldStep:
		s = s.withPhase(PhaseArming, now)
		return s.arm(members, now)
	case s.isSuperseded(members):
		return s.abandon(members, now)
	}
	if at := max(first.Step, holding.Step); s.heldStep <= at {
		ahead := uint64(holdAheadSteps)
		if len(members) >= minBatch {
			ahead++
		}
		s.heldStep = max(at+ahead, s.nextHold)
		s.nextHold = s.heldStep + 1
	}
	return s.sendOrder(holder(members), rank.VerbHold, now, nil)
}

// isSuperseded reports whether a rank can no longer be armed for the version of the switch under way, because it has prepared a newer one:
// for another process, or by a late order of an earlier start of this one.
func (s State) isSuperseded(members []string) bool {
	for _, m := range members {
		if r := s.view(m).report; r.ArmedVersion == 0 && r.PreparedVersion > s.version {
			return true
		}
	}
	return false
}

// arm arms the followers for the held step, then rank 0, and releases the step once all are seen armed. Because rank 0
// comes last, a process that sees a rank that can no longer be armed knows that rank 0 is not armed.
func (s State) arm(members []string, now time.Duration) (State, []Effect) {
	if s.view(members[0]).report.Step >= s.heldStep {
		return s.finish(members, now)
	}
	if s.isSuperseded(members) {
		return s.startRecovery(members, s.heldStep, now)
	}
	isArmed := func(r rank.Report) bool { return r.ArmedVersion == s.version && r.ArmedStep == s.heldStep }
	for _, list := range [][]string{followers(members), members[:1]} {
		t, effects, missing := s.sendOrders(list, rank.VerbArm, now, func(r rank.Report) bool { return !isArmed(r) })
		if missing > 0 {
			return t, effects
		}
	}
	s = s.withPhase(PhaseReleasing, now)
	return s.release(members, now)
}

// release lets the held step begin, and finishes the switch once the step is seen released.
func (s State) release(members []string, now time.Duration) (State, []Effect) {
	if s.holderReport(members).HeldStep == s.heldStep {
		return s.sendOrder(holder(members), rank.VerbRelease, now, nil)
	}
	return s.finish(members, now)
}

// finish ends a switch whose held step was released.
func (s State) finish(members []string, now time.Duration) (State, []Effect) {
	took := now - s.phaseSince
	if s.target != nil {
		s.layout, s.layoutVersion = s.target, s.version
	}
	s, effects := s.withPhase(PhaseIdle, now).requestPlan(now)
	return s, append([]Effect{Log{Message: "switch finished: the held step was released", Args: []any{
		"version", s.version, "step", s.heldStep, "epoch", s.epoch, "first_rank_at", s.view(members[0]).report.Step, "phase_took", took,
	}}}, effects...)
}
