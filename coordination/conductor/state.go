package conductor

import (
	"maps"
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
	// it is due.
	holdAheadSteps = 2
	// activePollInterval is the time between two reports of a rank while a switch is under way, and idlePollInterval
	// otherwise.
	activePollInterval = 40 * time.Millisecond
	idlePollInterval   = time.Second
	// countInterval is the time between two requests for expert counts.
	countInterval = 150 * time.Millisecond
	// listInterval is the time between two requests for the list of runners.
	listInterval = 5 * time.Second
	// callTimeout is how long a call may go unanswered before the runner is called again, and prepareCallTimeout the
	// same while the runner copies a map.
	callTimeout        = 400 * time.Millisecond
	prepareCallTimeout = 3 * time.Second
	// prepareTimeout limits PhasePreparing. It allows for twelve copies of 0.1 s each and for delayed orders.
	prepareTimeout = 6 * time.Second
	// takeoverDelay is how long no pass may begin before another process checks for a held step and takes over the
	// switch; takeoverDelayPerRank is added for each rank number. Passes take 0.1 s, and callers wait 2 s for an event.
	takeoverDelay        = 250 * time.Millisecond
	takeoverDelayPerRank = 100 * time.Millisecond
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
	// verifiedVersion is the prepared version whose copy was compared with the order, 0 for none.
	verifiedVersion uint64
	counts          rank.Counts
}

// State is the state of the endpoint process beside one rank. It is immutable: Step returns a changed copy.
type State struct {
	self       string
	salt       uint64
	runners    []string
	views      map[string]view
	shape      Shape
	listedAt   time.Duration
	countsAt   time.Duration
	phase      Phase
	phaseSince time.Duration
	// epoch is the epoch of the group for which the fields from layout to rollingBack hold.
	epoch uint64
	// layout is the map in use, nil while it is unknown. version is the version of that map or, during a switch, of
	// the map that is prepared and armed.
	layout  rank.Layout
	version uint64
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
	window      []float64
	// lastStep is the step that the process's own rank began last, and stalledSince the time since which the rank has
	// begun no other although it has requests or is armed.
	lastStep     uint64
	stalledSince time.Duration
}

// New returns the initial state of the endpoint process beside the runner self. The salt must differ between starts of
// the process, so that they assign different versions.
func New(self string, salt uint64) State {
	return State{self: self, salt: salt % versionStride, views: map[string]view{}, phase: PhaseIdle, listedAt: -listInterval}
}

// IsLeading reports whether this process leads its group: its runner is rank 0 of an open group.
func (s State) IsLeading() bool {
	v := s.views[s.self]
	return v.known && v.report.Group != "" && v.report.GroupOpen && v.report.Rank == 0
}

func (s State) withView(name string, v view) State {
	s.views = maps.Clone(s.views)
	s.views[name] = v
	return s
}

// ranks returns the group's runners by rank, empty for a rank without a report of the current epoch, and the number of
// known ranks.
func (s State) ranks() (list []string, known int) {
	own := s.views[s.self].report
	list = make([]string, own.Size)
	for name, v := range s.views {
		r := v.report
		if v.known && r.Group == own.Group && r.Epoch == own.Epoch && r.GroupOpen && r.Rank < len(list) && list[r.Rank] == "" {
			list[r.Rank] = name
			known++
		}
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
func (s State) holderReport(list []string) rank.Report { return s.views[holder(list)].report }

func (s State) withPhase(p Phase, now time.Duration) State {
	s.phase, s.phaseSince = p, now
	return s
}

// nextVersion returns a version above all that the ranks report, with the salt that sets it apart from versions of
// other starts of the process.
func (s State) nextVersion(members []string) uint64 {
	return (max(s.version, s.highestVersion(members))/versionStride+1)*versionStride + s.salt
}

// highestVersion returns the highest version in the ranks' reports.
func (s State) highestVersion(list []string) uint64 {
	highest := uint64(0)
	for _, m := range list {
		r := s.views[m].report
		highest = max(highest, r.MapVersion, r.PreparedVersion, r.ArmedVersion)
	}
	return highest
}

// withEpoch returns the state at the beginning of a new epoch, in which no map is known.
func (s State) withEpoch(epoch uint64, now time.Duration) State {
	s.epoch, s.version, s.heldStep, s.target, s.layout, s.rollingBack, s.maxPending = epoch, 0, 0, nil, nil, false, 0
	s.nextHold = s.views[s.self].report.Step + holdAheadSteps + 1
	return s.withPhase(PhaseIdle, now)
}

// layoutInUse assembles the map in use from the holdings of the ranks from the given one on. It returns nil unless all
// of them are known and use the same version.
func (s State) layoutInUse(list []string, from int) rank.Layout {
	first := s.views[list[from]]
	layout := make(rank.Layout, len(first.holdings.InUse))
	for i := range layout {
		layout[i] = make([][]int, len(list))
	}
	for r := from; r < len(list); r++ {
		v := s.views[list[r]]
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
