package conductor

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/leveler"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Phase is the stage that a map switch has reached.
type Phase string

// The phases of a switch.
const (
	PhaseIdle      Phase = "idle"
	PhasePreparing Phase = "preparing"
	PhaseHolding   Phase = "holding"
	PhaseArming    Phase = "arming"
	PhaseReleasing Phase = "releasing"
	// PhaseRecovering ends a held step that another process left, or a switch that was superseded.
	PhaseRecovering Phase = "settling"
)

const (
	// holdAheadSteps is how many steps after the current one the held step is, so that all ranks can be armed before
	// it is due. In a group whose orders are passed on, it is one more.
	holdAheadSteps = 2
	// activePollInterval is the time between two reports of a rank that a switch waits for.
	activePollInterval = 40 * time.Millisecond
	// idlePollInterval is the time between two reports of any other rank, at least; idlePollPerRank sets it for large
	// groups.
	idlePollInterval = time.Second
	idlePollPerRank  = 10 * time.Millisecond
	// surveyPerRank sets, for large groups, the time between two reports of a rank while the group is not known whole or
	// another process takes over.
	surveyPerRank = 2 * time.Millisecond
	// countInterval is the time between two requests for expert counts, at least; countIntervalPerRank sets it for large
	// groups, so that the answers leave room on the link for orders.
	countInterval        = 150 * time.Millisecond
	countIntervalPerRank = 2 * time.Millisecond
	// listInterval is the time between two requests for the list of runners.
	listInterval = 5 * time.Second
	// callTimeout is how long a call may go unanswered before the runner is called again, and prepareCallTimeout the
	// same while the runner copies a map.
	callTimeout        = 400 * time.Millisecond
	prepareCallTimeout = 3 * time.Second
	// minRefusalPause is the pause before the third order to a runner that refused two in a row. It doubles, maxDoublings times at most, up
	// to maxRefusalPause: a step may be held meanwhile.
	minRefusalPause = 40 * time.Millisecond
	maxRefusalPause = 160 * time.Millisecond
	maxDoublings    = 2
	// prepareTimeout limits PhasePreparing. It allows for twelve copies of 0.1 s each and for delayed orders.
	prepareTimeout = 6 * time.Second
	// takeoverDelay is how long no pass may begin before another process checks for a held step and takes over the
	// switch; takeoverDelayPerRank is added for each rank number. Passes take 0.1 s, and callers wait 2 s for an event.
	takeoverDelay        = 250 * time.Millisecond
	takeoverDelayPerRank = 100 * time.Millisecond
	// maxReportLag is how old a report may be that a rank gives to another VM than its own.
	maxReportLag = time.Second
	// versionStride is the distance between versions that one start of a process assigns. Each start adds its own salt
	// below the stride, so that two starts do not assign the same version to different maps.
	versionStride = 1000
)

// view is what is known of one runner.
type view struct {
	report rank.Report
	known  bool
	// reportedAt is when the report arrived. callDeadline is when the call under way is considered lost, 0 if there is
	// none.
	reportedAt, callDeadline time.Duration
	// holdings is what the runner last reported to hold, in the epoch holdingsEpoch.
	holdings      rank.Holdings
	holdingsEpoch uint64
	holdingsAt    time.Duration
	// verifiedVersion is the prepared version whose copy was compared with the order, 0 for none.
	verifiedVersion uint64
	// refusals is how many orders in a row the runner refused, and retryAt when it may be sent the next one.
	refusals int
	retryAt  time.Duration
}

// withOutcome returns the view after the outcome of an order became known. A refusal comes with a report by which the next order may do; if
// that is refused, too, the ones after it are sent after pauses.
func (v view) withOutcome(o Outcome, at time.Duration) view {
	switch o {
	case OutcomeBegun:
		v.refusals, v.retryAt = 0, 0
	case OutcomeRefused:
		v.refusals++
		if v.refusals > 1 {
			v.retryAt = at + min(maxRefusalPause, minRefusalPause<<min(v.refusals-2, maxDoublings))
		}
	}
	return v
}

// State is the state of the endpoint process beside one rank. It is immutable: Step returns a changed copy.
type State struct {
	self    string
	salt    uint64
	runners []string
	// index holds the position in views of each runner and of the own one. Both are replaced, never changed in place.
	index      map[string]int
	views      []*view
	shape      Shape
	listedAt   time.Duration
	countsAt   time.Duration
	phase      Phase
	phaseSince time.Duration
	// assigned is the highest version that this start of the process gave to a map, also in a switch that was abandoned: an order for it may
	// still be carried out.
	assigned uint64
	// epoch is the epoch of the group for which the fields from layout to rollingBack hold.
	epoch uint64
	// layout is the map in use, nil while it is unknown, and layoutVersion its version. version is the same or, during
	// a switch, the version of the map that is prepared and armed.
	layout                 rank.Layout
	layoutVersion, version uint64
	// target is the layout that ranks are to prepare.
	target rank.Layout
	// heldStep is the step that is held in the switch under way. nextHold is the first step of the epoch that no start
	// of this process has held, so that a delayed order about a step cannot affect another switch.
	heldStep, nextHold uint64
	// maxPending is, during a recovery, an upper bound of the version whose switch waits for the held step.
	// rollingBack says that newer versions are being prepared so that this one can no longer be armed.
	maxPending  uint64
	rollingBack bool
	demand      leveler.Demand
	// window holds the counts since windowSince, nil if there are none.
	window      []float64
	windowSince time.Duration
	// planID identifies the last requested plan, and planning says that its answer is awaited.
	planID   uint64
	planning bool
	// pending is a plan that waits for the group to be quiescent since pendingSince, nil if there is none. It starts from
	// the map of the version pendingBase.
	pending      *leveler.Plan
	pendingBase  uint64
	pendingSince time.Duration
	// lastStep is the step that the process's own rank began last, and stalledSince the time since which the rank has
	// begun no other although it has requests or is armed.
	lastStep     uint64
	stalledSince time.Duration
}

// New returns the initial state of the endpoint process beside the runner self. The salt must differ between starts of
// the process, so that they assign different versions.
func New(self string, salt uint64) State {
	return State{
		self: self, salt: salt % versionStride, index: map[string]int{self: 0}, views: []*view{{}}, phase: PhaseIdle, listedAt: -listInterval,
	}
}

// view returns what is known of a runner, nothing for a name that is not in the list of runners.
func (s State) view(name string) view {
	if at, found := s.index[name]; found {
		return *s.views[at]
	}
	return view{}
}

// IsLeading reports whether this process leads its group: its runner is rank 0 of an open group.
func (s State) IsLeading() bool {
	v := s.view(s.self)
	return v.known && v.report.Group != "" && v.report.GroupOpen && v.report.Rank == 0
}

// withView replaces what is known of a runner; it changes nothing for a name that is not in the list of runners.
func (s State) withView(name string, v view) State {
	if at, found := s.index[name]; found {
		s.views = slices.Clone(s.views)
		s.views[at] = &v
	}
	return s
}

// ranks returns the group's runners by rank, empty for a rank without a report of the current epoch, and the number of
// known ranks.
func (s State) ranks() (list []string, known int) {
	own := s.view(s.self).report
	list = make([]string, own.Size)
	add := func(name string) {
		v := s.views[s.index[name]]
		r := &v.report
		if v.known && r.Group == own.Group && r.Epoch == own.Epoch && r.GroupOpen && r.Rank < len(list) && list[r.Rank] == "" {
			list[r.Rank] = name
			known++
		}
	}
	add(s.self)
	for _, name := range s.runners {
		add(name)
	}
	return list, known
}

// members returns the group's runners by rank, and whether every rank is known in the current epoch.
func (s State) members() ([]string, bool) {
	list, known := s.ranks()
	return list, known > 0 && known == len(list)
}

// followers returns the ranks that are armed before rank 0: all others or, in a group of one, rank 0 itself.
func followers(list []string) []string { return list[min(1, len(list)-1):] }

// holder returns the rank that holds the step. It is not rank 0, unless that is the only one, so that a switch can be
// recovered while the leader's VM is lost.
func holder(list []string) string { return followers(list)[0] }

// holderReport returns the report of the rank that holds the step.
func (s State) holderReport(list []string) rank.Report { return s.view(holder(list)).report }

func (s State) withPhase(p Phase, now time.Duration) State {
	s.phase, s.phaseSince = p, now
	return s
}

// withTarget returns the state with a map for ranks to prepare, and gives it a version: one above all that the ranks report and all that
// this start of the process has given to a map, with the salt that sets it apart from versions of other starts.
func (s State) withTarget(target rank.Layout, members []string) State {
	highest := max(s.version, s.assigned, s.highestVersion(members))
	s.assigned = (highest/versionStride+1)*versionStride + s.salt
	s.target, s.version = target, s.assigned
	return s
}

// highestVersion returns the highest version in the ranks' reports.
func (s State) highestVersion(list []string) uint64 {
	highest := uint64(0)
	for _, m := range list {
		r := s.view(m).report
		highest = max(highest, r.MapVersion, r.PreparedVersion, r.ArmedVersion)
	}
	return highest
}

// withEpoch returns the state at the beginning of a new epoch, in which no map is known.
func (s State) withEpoch(epoch uint64, now time.Duration) State {
	s.epoch, s.version, s.heldStep, s.target, s.layout, s.rollingBack, s.maxPending = epoch, 0, 0, nil, nil, false, 0
	s.nextHold = s.view(s.self).report.Step + holdAheadSteps + 1
	s.planning, s.pending, s.window = false, nil, nil
	return s.withPhase(PhaseIdle, now)
}

// layoutInUse assembles the map in use from the holdings of the ranks from the given one on. It returns nil unless all
// of them are known and use the same version.
func (s State) layoutInUse(list []string, from int) rank.Layout {
	first := s.view(list[from])
	layout := make(rank.Layout, len(first.holdings.InUse))
	for i := range layout {
		layout[i] = make([][]int, len(list))
	}
	for r := from; r < len(list); r++ {
		v := s.view(list[r])
		if !s.isVerified(v) || v.holdings.MapVersion != first.holdings.MapVersion || len(v.holdings.InUse) != len(layout) {
			return nil
		}
		for i, experts := range v.holdings.InUse {
			layout[i][r] = slices.Sorted(slices.Values(experts))
		}
	}
	return layout
}

// isVerified reports whether the holdings are known for the map that a runner uses now.
func (s State) isVerified(v view) bool {
	return v.holdingsEpoch == s.epoch && v.holdings.MapVersion == v.report.MapVersion
}

// hasPrepared reports whether a runner has prepared the target map and its copy was verified.
func (s State) hasPrepared(v view) bool {
	return v.report.PreparedVersion == s.version && v.verifiedVersion == s.version && v.report.Epoch == s.epoch
}
