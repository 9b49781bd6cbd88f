package conductor

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/leveler"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Step returns the state after an event, and the effects that the caller has to carry out.
func Step(s State, event Event) (State, []Effect) {
	switch e := event.(type) {
	case Tick:
		return s.handleTick(e.At)
	case RunnersListed:
		return s.withRunners(e), nil
	case ReportReceived:
		return s.handleReport(e)
	case CallFailed:
		v := s.views[e.Runner]
		v.callDeadline = 0
		return s.withView(e.Runner, v), nil
	case HoldingsReceived:
		return s.handleHoldings(e)
	case CountsReceived:
		return s.handleCounts(e)
	}
	return s, nil
}

// withRunners replaces the list of runners, and discards the demand if the number of sets or experts has changed.
func (s State) withRunners(e RunnersListed) State {
	views := map[string]view{}
	for _, r := range e.Runners {
		views[r] = s.views[r]
	}
	views[s.self] = s.views[s.self]
	changed := s.shape.Sets != e.Shape.Sets || s.shape.Experts != e.Shape.Experts
	s.runners, s.views, s.shape = e.Runners, views, e.Shape
	if changed {
		s.demand = leveler.NewDemand(e.Shape.Sets, e.Shape.Experts)
		s.window = nil
	}
	return s
}

// handleReport stores a report unless a newer one is known.
func (s State) handleReport(e ReportReceived) (State, []Effect) {
	v := s.views[e.Runner]
	v.callDeadline = 0
	if v.known && isOlder(e.Report, v.report) {
		return s.withView(e.Runner, v), nil
	}
	if v.report.Epoch != e.Report.Epoch {
		v.verifiedVersion = 0
	}
	v.report, v.known, v.reportedAt, v.verifiedVersion = e.Report, true, e.At, max(v.verifiedVersion, e.VerifiedVersion)
	s = s.withView(e.Runner, v)
	return s.advance(e.At)
}

func (s State) handleHoldings(e HoldingsReceived) (State, []Effect) {
	v := s.views[e.Runner]
	v.callDeadline, v.holdings, v.holdingsEpoch = 0, e.Holdings, v.report.Epoch
	return s.withView(e.Runner, v).advance(e.At)
}

// handleTick requests what is due and continues the switch under way. A process that neither leads nor has to take
// over only polls its own rank.
func (s State) handleTick(now time.Duration) (State, []Effect) {
	var effects []Effect
	s, effects = s.fetchReport(s.self, now, s.pollInterval(), effects)
	own := s.views[s.self]
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
	interval := s.pollInterval()
	for _, r := range s.runners {
		s, effects = s.fetchReport(r, now, interval, effects)
	}
	s, more := s.advance(now)
	effects = append(effects, more...)
	if s.hasUnexpectedMap() {
		s.layout = nil
	}
	if leading && s.layout == nil {
		s, effects = s.fetchLayout(now, effects)
	}
	if leading && now-s.countsAt >= countInterval {
		s, more = s.planAndCount(now)
		effects = append(effects, more...)
	}
	return s, effects
}

// pollInterval returns the time between two reports of a rank, which is short unless the whole group is known to be
// quiescent.
func (s State) pollInterval() time.Duration {
	members, complete := s.members()
	if s.phase == PhaseIdle && complete && s.isQuiescent(members) {
		return idlePollInterval
	}
	return activePollInterval
}

// hasUnexpectedMap reports whether rank 0 uses another version than this process takes to be in use, although no
// switch is under way and no rank is armed or holds a step.
func (s State) hasUnexpectedMap() bool {
	members, complete := s.members()
	if !complete || s.phase != PhaseIdle {
		return false
	}
	for _, m := range members {
		if r := s.views[m].report; r.ArmedVersion != 0 || r.HeldStep != 0 {
			return false
		}
	}
	return s.views[members[0]].report.MapVersion != s.version
}

// isOlder reports whether report a was made before report b.
func isOlder(a, b rank.Report) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Group == b.Group && (a.Step < b.Step || a.OrderCount < b.OrderCount)
}

// fetchLayout sets the map in use from the holdings of all ranks, and requests those that are unknown.
func (s State) fetchLayout(now time.Duration, effects []Effect) (State, []Effect) {
	members, complete := s.members()
	if !complete {
		return s, effects
	}
	if layout := s.layoutInUse(members, 0); layout != nil {
		s.layout, s.version = layout, s.views[members[0]].report.MapVersion
		return s, append(effects, Log{Message: "read the expert map in use",
			Args: []any{"version", s.version, "epoch", s.epoch, "ranks", len(members)}})
	}
	return s.fetchHoldings(members, now, effects)
}

// fetchHoldings requests the holdings of runners for which they are unknown.
func (s State) fetchHoldings(list []string, now time.Duration, effects []Effect) (State, []Effect) {
	for _, m := range list {
		if v := s.views[m]; now >= v.callDeadline && !s.isVerified(v) {
			v.callDeadline = now + callTimeout
			s = s.withView(m, v)
			effects = append(effects, FetchHoldings{Runner: m})
		}
	}
	return s, effects
}

// fetchReport requests a runner's report if the last one is older than the interval, unless a call to it is under way.
func (s State) fetchReport(name string, now, interval time.Duration, effects []Effect) (State, []Effect) {
	v := s.views[name]
	if name == s.self {
		interval = min(interval, 2*activePollInterval)
	}
	if now < v.callDeadline || v.known && now-v.reportedAt < interval {
		return s, effects
	}
	v.callDeadline = now + callTimeout
	return s.withView(name, v), append(effects, FetchReport{Runner: name})
}

// withStall records since when the process's own rank has begun no pass although it has requests or is armed.
func (s State) withStall(now time.Duration) State {
	r := s.views[s.self].report
	if r.Step != s.lastStep || r.ActiveRequests == 0 && r.ArmedVersion == 0 {
		s.lastStep, s.stalledSince = r.Step, now
	}
	return s
}

// isStalled reports whether the process's own rank has begun no pass for so long that the leader may have left a step
// held, which this process takes over.
func (s State) isStalled(now time.Duration) bool {
	r := s.views[s.self].report
	wait := takeoverDelay + time.Duration(r.Rank)*takeoverDelayPerRank
	return r.GroupOpen && r.Step == s.lastStep && s.stalledSince > 0 && now-s.stalledSince >= wait
}

// planAndCount plans a switch from the last window of counts if none is under way, and requests the next counts.
func (s State) planAndCount(now time.Duration) (State, []Effect) {
	members, complete := s.members()
	if !complete || s.shape.Sets == 0 {
		return s, nil
	}
	var effects []Effect
	if s.phase == PhaseIdle {
		s, effects = s.propose(members, now)
	}
	s.countsAt = now
	for _, m := range s.sampledRanks(members) {
		effects = append(effects, FetchCounts{Runner: m})
	}
	return s, effects
}

const (
	// maxSampledCounts is how many counts the answers to one round of requests hold together, so that they take little
	// of the link's bandwidth. A sample suffices, as all ranks of a group see the same demand.
	maxSampledCounts = 8000
	// minSampledRanks is the minimum number of ranks that are sampled, even if their counts exceed maxSampledCounts.
	minSampledRanks = 3
)

// sampledRanks returns the ranks that are asked for counts, from rank 0 on.
func (s State) sampledRanks(members []string) []string {
	n := max(minSampledRanks, maxSampledCounts/max(1, s.shape.Sets*s.shape.Experts))
	return members[:min(len(members), n)]
}

// handleCounts adds to the window what a rank has counted since its last answer. It adds nothing if the epoch or the
// number of counts has changed.
func (s State) handleCounts(e CountsReceived) (State, []Effect) {
	v := s.views[e.Runner]
	before := v.counts
	v.counts = e.Counts
	s = s.withView(e.Runner, v)
	if before.Epoch != e.Counts.Epoch || len(before.Counts) != len(e.Counts.Counts) {
		return s, nil
	}
	window := slices.Clone(s.window)
	if len(window) != len(e.Counts.Counts) {
		window = make([]float64, len(e.Counts.Counts))
	}
	for i, c := range e.Counts.Counts {
		if c > before.Counts[i] {
			window[i] += float64(c - before.Counts[i])
		}
	}
	s.window = window
	return s, nil
}

// propose adds the last window to the demand, and begins a switch if a plan pays.
func (s State) propose(members []string, now time.Duration) (State, []Effect) {
	if s.window != nil {
		s.demand = s.demand.WithWindow(s.window, now-s.countsAt)
		s.window = nil
	}
	if !s.demand.IsKnown() || s.layout == nil || !s.isQuiescent(members) {
		return s, nil
	}
	plan, pays := leveler.Propose(s.layout, s.demand, s.shape.Bounds)
	if !pays {
		return s, nil
	}
	s.target, s.version = plan.Layout, s.nextVersion(members)
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
		if r := s.views[m].report; r.MapVersion != s.version || r.ArmedVersion != 0 || r.HeldStep != 0 {
			return false
		}
	}
	return true
}

// orderFor returns an order with the epoch and the number of orders of a runner's last report.
func (s State) orderFor(verb rank.Verb, r rank.Report) rank.Order {
	order := rank.Order{Verb: verb, Epoch: r.Epoch, ExpectedOrderCount: r.OrderCount, Version: s.version, Step: s.heldStep}
	switch verb {
	case rank.VerbPrepare:
		order.Layout, order.Step = s.target, 0
	case rank.VerbDisarm:
		order.Version, order.Step = r.ArmedVersion, 0
	case rank.VerbHold, rank.VerbRelease:
		order.Version = 0
	}
	return order
}

// sendOrder sends a runner an order unless a call to it is under way.
func (s State) sendOrder(name string, verb rank.Verb, now time.Duration, effects []Effect) (State, []Effect) {
	v := s.views[name]
	if now < v.callDeadline {
		return s, effects
	}
	v.callDeadline = now + callTimeout
	if verb == rank.VerbPrepare && !s.rollingBack {
		v.callDeadline = now + prepareCallTimeout
	}
	return s.withView(name, v), append(effects, SendOrder{Runner: name, Order: s.orderFor(verb, v.report), Direct: verb == rank.VerbHold})
}
