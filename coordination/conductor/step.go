package conductor

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/leveler"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Step returns the state after an event, and the effects that the caller has to carry out.
func Step(s State, event Event) (State, []Effect) {
	s, effects := s.handle(event)
	return s, batched(effects)
}

func (s State) handle(event Event) (State, []Effect) {
	switch e := event.(type) {
	case Tick:
		return s.handleTick(e.At)
	case RunnersListed:
		return s.withRunners(e), nil
	case ReportReceived:
		return s.handleReport(e)
	case AnswersReceived:
		for _, r := range e.Reports {
			s = s.withReport(r)
		}
		for _, name := range e.Failed {
			s = s.withFailedCall(name)
		}
		return s.advance(e.At)
	case CallFailed:
		return s.withFailedCall(e.Runner), nil
	case HoldingsReceived:
		return s.handleHoldings(e)
	case DemandReceived:
		return s.withDemand(e), nil
	case PlanComputed:
		return s.handlePlan(e)
	}
	return s, nil
}

// withRunners replaces the list of runners, and discards the demand if the number of sets or experts has changed.
func (s State) withRunners(e RunnersListed) State {
	index, views := map[string]int{}, make([]*view, 0, len(e.Runners)+1)
	for _, r := range append(slices.Clone(e.Runners), s.self) {
		if _, found := index[r]; !found {
			v := s.view(r)
			index[r], views = len(views), append(views, &v)
		}
	}
	changed := s.shape.Sets != e.Shape.Sets || s.shape.Experts != e.Shape.Experts
	s.runners, s.index, s.views, s.shape = e.Runners, index, views, e.Shape
	if changed {
		s.demand = leveler.NewDemand(e.Shape.Sets, e.Shape.Experts)
		s.window = nil
	}
	return s
}

// handleReport stores a report and continues with what it allows.
func (s State) handleReport(e ReportReceived) (State, []Effect) {
	return s.withReport(e).advance(e.At)
}

// withReport stores a report unless a newer one is known.
func (s State) withReport(e ReportReceived) State {
	v := s.view(e.Runner).withOutcome(e.Outcome, e.At)
	v.callDeadline = 0
	isLagging := e.Report.IsLagged && e.Report.Epoch == v.report.Epoch && e.At-v.reportedAt < maxReportLag
	if v.known && (isOlder(e.Report, v.report) || isLagging) {
		return s.withView(e.Runner, v)
	}
	if v.report.Epoch != e.Report.Epoch {
		v.verifiedVersion = 0
	}
	v.report, v.known, v.reportedAt, v.verifiedVersion = e.Report, true, e.At, max(v.verifiedVersion, e.VerifiedVersion)
	return s.withView(e.Runner, v)
}

// withFailedCall ends the call to a runner that gave no answer. As an order in the call may have been carried out, the
// runner's last report no longer counts as recent.
func (s State) withFailedCall(name string) State {
	v := s.view(name)
	v.callDeadline, v.reportedAt = 0, 0
	return s.withView(name, v)
}

func (s State) handleHoldings(e HoldingsReceived) (State, []Effect) {
	v := s.view(e.Runner)
	v.callDeadline, v.holdings, v.holdingsEpoch, v.holdingsAt = 0, e.Holdings, v.report.Epoch, e.At
	if e.Holdings.MapVersion != v.report.MapVersion {
		// Either of them may be the older one: the report is asked for before the holdings are again.
		v.reportedAt = 0
	}
	return s.withView(e.Runner, v).advance(e.At)
}

// handleTick requests what is due and continues the switch under way. A process that neither leads nor has to take
// over only polls its own rank.
func (s State) handleTick(now time.Duration) (State, []Effect) {
	var effects []Effect
	s, effects = s.fetchReport(s.self, now, activePollInterval*2, effects)
	own := s.view(s.self)
	if !own.known || own.report.Group == "" {
		return s, effects
	}
	leading := s.IsLeading()
	s = s.withStall(now)
	takingOver := !leading && s.isStalled(now)
	if !leading && !takingOver {
		s.phase = PhaseIdle
		return s, effects
	}
	if now-s.listedAt >= listInterval || len(s.runners) == 0 && now-s.listedAt >= idlePollInterval {
		s.listedAt = now
		effects = append(effects, ListRunners{})
	}
	s, effects = s.fetchDueReports(now, takingOver, effects)
	s, more := s.advance(now)
	effects = append(effects, more...)
	if s.hasUnexpectedMap() {
		s.layout = nil
	}
	if leading && s.layout == nil {
		s, effects = s.fetchLayout(now, effects)
	}
	if leading && now-s.countsAt >= s.countsInterval() && !s.isHolding() {
		s, more = s.planAndCount(now)
		effects = append(effects, more...)
	}
	return s, effects
}

// fetchDueReports requests the reports that are due: soon of all ranks while the group is not known whole or this process
// takes over, and else of those that the switch under way waits for; of all others at longer intervals.
func (s State) fetchDueReports(now time.Duration, takingOver bool, effects []Effect) (State, []Effect) {
	members, complete := s.members()
	idle := max(idlePollInterval, time.Duration(len(s.runners))*idlePollPerRank)
	for _, name := range s.runners {
		interval := idle
		switch {
		case takingOver || !complete:
			interval = max(activePollInterval, time.Duration(len(s.runners))*surveyPerRank)
		case s.isAwaited(members, name):
			interval = activePollInterval
		}
		s, effects = s.fetchReport(name, now, interval, effects)
	}
	return s, effects
}

// isAwaited reports whether the phase waits for something that a runner's last report does not show yet. Orders are
// answered with reports, so that other ranks need not be polled while they carry out theirs.
func (s State) isAwaited(members []string, name string) bool {
	v := s.view(name)
	isFirst := name == members[0] || name == holder(members)
	switch s.phase {
	case PhaseIdle:
		return !s.isRankQuiescent(v.report)
	case PhasePreparing:
		return !s.hasPrepared(v)
	case PhaseHolding, PhaseReleasing:
		return isFirst
	case PhaseArming:
		return isFirst || v.report.ArmedVersion != s.version
	}
	return true
}

// hasUnexpectedMap reports whether rank 0 uses another version than this process takes to be in use, although no
// switch is under way and no rank is armed or holds a step.
func (s State) hasUnexpectedMap() bool {
	members, complete := s.members()
	if !complete || s.phase != PhaseIdle {
		return false
	}
	for _, m := range members {
		if r := s.view(m).report; r.ArmedVersion != 0 || r.HeldStep != 0 {
			return false
		}
	}
	return s.view(members[0]).report.MapVersion != s.version
}

// isOlder reports whether report a was made before report b.
func isOlder(a, b rank.Report) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Group == b.Group && (a.Step < b.Step || a.OrderCount < b.OrderCount)
}

// fetchLayout sets the map in use: the initial one if no rank has another, else that of the holdings of all ranks. It
// requests the holdings that are unknown.
func (s State) fetchLayout(now time.Duration, effects []Effect) (State, []Effect) {
	members, complete := s.members()
	if !complete || s.shape.Sets == 0 {
		return s, effects
	}
	layout := s.layoutInUse(members, 0)
	if s.highestVersion(members) == 0 {
		layout = leveler.InitialLayout(s.shape.Sets, s.shape.Experts, len(members))
	}
	if layout != nil {
		s.layout, s.version = layout, s.view(members[0]).report.MapVersion
		s.layoutVersion = s.version
		return s, append(effects, Log{Message: "read the expert map in use",
			Args: []any{"version", s.version, "epoch", s.epoch, "ranks", len(members)}})
	}
	return s.fetchHoldings(members, now, effects)
}

// fetchHoldings requests the holdings of runners for which they are unknown, once after each report.
func (s State) fetchHoldings(list []string, now time.Duration, effects []Effect) (State, []Effect) {
	for _, m := range list {
		v := s.view(m)
		isAskedSince := v.holdingsEpoch == s.epoch && v.holdingsAt >= v.reportedAt
		if now >= v.callDeadline && !s.isVerified(v) && !isAskedSince {
			v.callDeadline = now + callTimeout
			s = s.withView(m, v)
			effects = append(effects, FetchHoldings{Runner: m})
		}
	}
	return s, effects
}

// fetchReport requests a runner's report if the last one is older than the interval, unless a call to it is under way.
func (s State) fetchReport(name string, now, interval time.Duration, effects []Effect) (State, []Effect) {
	v := s.view(name)
	if now < v.callDeadline || v.known && now-v.reportedAt < interval {
		return s, effects
	}
	v.callDeadline = now + callTimeout
	return s.withView(name, v), append(effects, FetchReport{Runner: name})
}

// withStall records since when the process's own rank has begun no pass although it has requests or is armed.
func (s State) withStall(now time.Duration) State {
	r := s.view(s.self).report
	if r.Step != s.lastStep || r.ActiveRequests == 0 && r.ArmedVersion == 0 {
		s.lastStep, s.stalledSince = r.Step, now
	}
	return s
}

// isStalled reports whether the process's own rank has begun no pass for so long that the leader may have left a step
// held, which this process takes over.
func (s State) isStalled(now time.Duration) bool {
	r := s.view(s.self).report
	wait := takeoverDelay + time.Duration(r.Rank)*takeoverDelayPerRank
	return r.GroupOpen && r.Step == s.lastStep && s.stalledSince > 0 && now-s.stalledSince >= wait
}

// planAndCount requests a plan from the last window of counts if no switch is under way, and requests the next counts.
func (s State) planAndCount(now time.Duration) (State, []Effect) {
	members, complete := s.members()
	if !complete || s.shape.Sets == 0 {
		return s, nil
	}
	s.countsAt = now
	fetch := FetchDemand{Runners: members}
	if s.phase != PhaseIdle {
		return s, []Effect{fetch}
	}
	s, effects := s.requestPlan(now)
	return s, append(effects, fetch)
}

// isHolding reports whether a step is or may be held, in which case the ranks' answers must not wait on the link behind
// counts.
func (s State) isHolding() bool {
	return s.phase == PhaseHolding || s.phase == PhaseArming || s.phase == PhaseReleasing
}

// countsInterval returns the time between two requests for expert counts.
func (s State) countsInterval() time.Duration {
	return max(countInterval, time.Duration(len(s.runners))*countIntervalPerRank)
}

// withDemand adds to the window what ranks have counted. It adds nothing from another epoch or of another shape.
func (s State) withDemand(e DemandReceived) State {
	if e.Epoch != s.epoch || len(e.Counts) != s.shape.Sets*s.shape.Experts {
		return s
	}
	window := slices.Clone(s.window)
	if len(window) != len(e.Counts) {
		window = make([]float64, len(e.Counts))
	}
	for i, c := range e.Counts {
		window[i] += float64(c)
	}
	s.window = window
	return s
}

// requestPlan adds the last window to the demand, and requests a plan unless one is being computed.
func (s State) requestPlan(now time.Duration) (State, []Effect) {
	if s.window != nil {
		s.demand = s.demand.WithWindow(s.window, now-s.windowSince)
		s.window, s.windowSince = nil, now
	}
	if s.planning || !s.demand.IsKnown() || s.layout == nil {
		return s, nil
	}
	s.planning, s.pending = true, nil
	s.planID++
	return s, []Effect{ComputePlan{ID: s.planID, Current: s.layout, Demand: s.demand, Bounds: s.shape.Bounds}}
}

// handlePlan keeps a plan that pays until the group is quiescent.
func (s State) handlePlan(e PlanComputed) (State, []Effect) {
	if !s.planning || e.ID != s.planID {
		return s, nil
	}
	s.planning = false
	if !e.Pays || s.phase != PhaseIdle || s.layout == nil {
		return s, nil
	}
	s.pending, s.pendingBase, s.pendingSince = &e.Plan, s.layoutVersion, e.At
	return s.advance(e.At)
}

// maxPlanAge is how long a plan waits for the group to become quiescent: a few passes.
const maxPlanAge = 600 * time.Millisecond

// startPending begins the switch of the pending plan, if there is one and the map that it starts from is in use.
func (s State) startPending(members []string, now time.Duration) (State, []Effect) {
	if s.pending == nil || s.layout == nil || !s.isQuiescent(members) {
		return s, nil
	}
	plan := *s.pending
	s.pending = nil
	if s.pendingBase != s.layoutVersion || now-s.pendingSince > maxPlanAge {
		return s, nil
	}
	s = s.withTarget(plan.Layout, members)
	s = s.withPhase(PhasePreparing, now)
	s, effects := s.advance(now)
	return s, append([]Effect{Log{Message: "starting a switch to a new expert map", Args: []any{
		"version", s.version, "epoch", s.epoch, "skew", plan.Before, "planned", plan.After, "copies", plan.Copies, "longest", plan.Longest,
	}}}, effects...)
}

// isQuiescent reports whether all ranks use the version that this process takes to be in use, and none is armed or
// holds a step.
func (s State) isQuiescent(members []string) bool {
	for _, m := range members {
		if !s.isRankQuiescent(s.view(m).report) {
			return false
		}
	}
	return true
}

// isRankQuiescent does the same for one rank.
func (s State) isRankQuiescent(r rank.Report) bool {
	return r.MapVersion == s.version && r.ArmedVersion == 0 && r.HeldStep == 0
}

// orderFor returns an order with the epoch and the number of orders of a runner's last report.
func (s State) orderFor(verb rank.Verb, r rank.Report) rank.Order {
	order := rank.Order{Verb: verb, Epoch: r.Epoch, ExpectedOrderCount: r.OrderCount, Version: s.version, Step: s.heldStep}
	switch verb {
	case rank.VerbPrepare:
		order.Layout, order.Step = s.target, 0
		if !s.rollingBack && r.MapVersion == s.layoutVersion {
			order.Base, order.BaseVersion = s.layout, s.layoutVersion
		}
	case rank.VerbDisarm:
		order.Version, order.Step = r.ArmedVersion, 0
	case rank.VerbHold, rank.VerbRelease:
		order.Version = 0
	}
	return order
}

// sendOrder sends a runner an order unless a call to it is under way, or it refused the last orders just now.
func (s State) sendOrder(name string, verb rank.Verb, now time.Duration, effects []Effect) (State, []Effect) {
	v := s.view(name)
	if now < max(v.callDeadline, v.retryAt) {
		return s, effects
	}
	v.callDeadline = now + callTimeout
	if verb == rank.VerbPrepare && !s.rollingBack {
		v.callDeadline = now + prepareCallTimeout
	}
	return s.withView(name, v), append(effects, SendOrder{Runner: name, Order: s.orderFor(verb, v.report), Direct: verb == rank.VerbHold})
}
