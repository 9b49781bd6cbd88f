package conductor

import (
	"maps"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/leveler"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Phase is what a switch is waiting for.
type Phase string

// The phases of a switch.
const (
	PhaseIdle      Phase = "idle"
	PhasePreparing Phase = "preparing"
	PhaseHolding   Phase = "holding"
	PhaseArming    Phase = "arming"
	PhaseReleasing Phase = "releasing"
	PhaseSettling  Phase = "settling"
)

const (
	// lead is how many passes ahead the held step is, so that the ranks are armed before it comes.
	lead = 2
	// askEvery is how often ranks are asked while something is under way, and restEvery otherwise.
	askEvery  = 40 * time.Millisecond
	restEvery = time.Second
	// countEvery is the time between two looks at the counts.
	countEvery = 150 * time.Millisecond
	// learnEvery is how often the process that leads asks which runners there are.
	learnEvery = 5 * time.Second
	// lostAfter is how long a call may be without an answer before the runner is asked again, copyLost the same while it
	// copies a map.
	lostAfter = 400 * time.Millisecond
	copyLost  = 3 * time.Second
	// giveUp is how long ranks may take to prepare a map: twelve copies of a tenth of a second, with orders carried out late.
	giveUp = 6 * time.Second
	// silentAfter is how long no pass may begin before another process looks whether a step is held and completes the
	// switch, and silentEach what each further rank adds: passes take a tenth of a second, and callers wait for two.
	silentAfter = 250 * time.Millisecond
	silentEach  = 100 * time.Millisecond
	// versionStep spreads versions, so that two starts of a process do not give the same one to different maps.
	versionStep = 1000
)

// view is what is known of one runner.
type view struct {
	report rank.Report
	known  bool
	// heard is when the report came, and busy until when the answer of a call under way is waited for, 0 for none.
	heard, busy time.Duration
	// holdings are what the runner was last seen to hold, in the epoch of holding.
	holdings rank.Holdings
	holding  uint64
	// whole is the version that the runner was seen to hold as ordered.
	whole  uint64
	counts rank.Counts
}

// State is what the process beside a rank knows and does.
type State struct {
	self    string
	salt    uint64
	runners []string
	views   map[string]view
	shape   Shape
	learnt  time.Duration
	counted time.Duration
	phase   Phase
	since   time.Duration
	// epoch is the group's epoch for which layout and what follows hold.
	epoch uint64
	// layout is the map in use, nil while it is not known, and version the one that this process gave last.
	layout  rank.Layout
	version uint64
	wanted  rank.Layout
	// step is the one that is held in the switch under way, and free the first that no start of this process has had held
	// in the epoch: an order about a step that comes late must not meet another switch.
	step, free uint64
	// dead is, while a held step is settled, a version that is not below the one whose switch waits for that step, and
	// filling says that newer versions are prepared so that it can no longer be armed.
	dead    uint64
	filling bool
	demand  leveler.Demand
	window  []float64
	// stuck is the own rank's last pass, and since when it has begun no other although it has work.
	stuck      uint64
	stuckSince time.Duration
}

// New returns the state of the process beside a runner; salt is to differ between starts of the process.
func New(self string, salt uint64) State {
	return State{self: self, salt: salt % versionStep, views: map[string]view{}, phase: PhaseIdle, learnt: -learnEvery}
}

// IsLeading reports whether this process leads its group: it is beside the first rank.
func (s State) IsLeading() bool {
	v := s.views[s.self]
	return v.known && v.report.Group != "" && v.report.Open && v.report.Rank == 0
}

func (s State) withView(name string, v view) State {
	s.views = maps.Clone(s.views)
	s.views[name] = v
	return s
}

// ranks returns the group's runners by rank, empty where none is known in the present epoch, and how many are known.
func (s State) ranks() (list []string, known int) {
	own := s.views[s.self].report
	list = make([]string, own.Size)
	for name, v := range s.views {
		r := v.report
		if v.known && r.Group == own.Group && r.Epoch == own.Epoch && r.Open && r.Rank < len(list) && list[r.Rank] == "" {
			list[r.Rank] = name
			known++
		}
	}
	return list, known
}

// members returns the group's runners by rank, and false unless every rank is known in the present epoch.
func (s State) members() ([]string, bool) {
	list, known := s.ranks()
	return list, known > 0 && known == len(list)
}

// others returns the ranks that are armed before the first one, which is beside the process that leads; the only rank of
// a group of one is among them.
func others(list []string) []string { return list[min(1, len(list)-1):] }

// holder returns the rank that holds a step: not the first, so that the VM of the process that leads may be lost.
func holder(list []string) string { return others(list)[0] }

// holding returns the report of the rank that holds steps.
func (s State) holding(list []string) rank.Report { return s.views[holder(list)].report }

func (s State) enter(p Phase, now time.Duration) State {
	s.phase, s.since = p, now
	return s
}

// nextVersion returns a version above all that any rank has had and that no other start of a process would give.
func (s State) nextVersion(members []string) uint64 {
	return (max(s.version, s.highest(members))/versionStep+1)*versionStep + s.salt
}

// highest returns the highest version that ranks report.
func (s State) highest(list []string) uint64 {
	highest := uint64(0)
	for _, m := range list {
		r := s.views[m].report
		highest = max(highest, r.Map, r.Prepared, r.Armed)
	}
	return highest
}

// forgotten returns the state for a new epoch, of which nothing is known.
func (s State) forgotten(epoch uint64, now time.Duration) State {
	s.epoch, s.version, s.step, s.wanted, s.layout, s.filling, s.dead = epoch, 0, 0, nil, nil, false, 0
	s.free = s.views[s.self].report.Step + lead + 1
	return s.enter(PhaseIdle, now)
}

// inUse returns the map in use, put together from what ranks hold, and nil unless all of them use the same version; from is
// the first of the ranks that are asked.
func (s State) inUse(list []string, from int) rank.Layout {
	first := s.views[list[from]]
	layout := make(rank.Layout, len(first.holdings.InUse))
	for i := range layout {
		layout[i] = make([][]int, len(list))
	}
	for r := from; r < len(list); r++ {
		v := s.views[list[r]]
		if !s.isVerified(v) || v.holdings.Map != first.holdings.Map || len(v.holdings.InUse) != len(layout) {
			return nil
		}
		for i, experts := range v.holdings.InUse {
			layout[i][r] = slices.Sorted(slices.Values(experts))
		}
	}
	return layout
}

// isVerified reports whether a runner was seen to hold what it has in use now.
func (s State) isVerified(v view) bool {
	return v.holding == s.epoch && v.holdings.Map == v.report.Map
}

// hasPrepared reports whether a runner was seen to hold its part of the wanted map.
func (s State) hasPrepared(v view) bool {
	return v.report.Prepared == s.version && v.whole == s.version && v.report.Epoch == s.epoch
}
