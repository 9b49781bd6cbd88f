package lockstep

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Group is a simulated rank group; it is not safe for concurrent use.
type Group struct {
	name     string
	epoch    uint64
	step     uint64
	open     bool
	initial  rank.Layout
	now      func() time.Duration
	copyTime time.Duration
	ranks    []member
	// ignoresOrderCount says that applied orders don't increment the rank's order count, so that the check of this
	// count doesn't reject late orders.
	ignoresOrderCount bool
}

// Option sets a field of a Group under construction.
type Option func(*Group)

// IgnoreOrderCount stops applied orders from incrementing the rank's order count.
func IgnoreOrderCount() Option { return func(g *Group) { g.ignoresOrderCount = true } }

// member is the state of one rank.
type member struct {
	// orders counts the applied orders; an order has to carry the current count.
	orders         uint64
	highestVersion uint64
	inUse          mapState
	prepared       mapState
	// copiedAt is when the copy of the prepared map completes.
	copiedAt  time.Duration
	armed     uint64
	armedStep uint64
	heldStep  uint64
}

// mapState is a version of the map with its layout.
type mapState struct {
	version uint64
	layout  rank.Layout
}

// New returns an open group that starts on the initial layout, reads the time from now and takes copyTime for each
// expert that a rank copies.
func New(name string, initial rank.Layout, now func() time.Duration, copyTime time.Duration, options ...Option) *Group {
	g := &Group{name: name, initial: initial, now: now, copyTime: copyTime}
	for _, option := range options {
		option(g)
	}
	g.BeginEpoch()
	return g
}

// BeginEpoch opens the group in a new epoch: all ranks use the initial map, and the state from earlier orders is lost.
func (g *Group) BeginEpoch() {
	g.epoch++
	g.open = true
	g.ranks = make([]member, len(g.initial[0]))
	for r := range g.ranks {
		g.ranks[r].inUse = mapState{layout: g.initial}
	}
}

// EndEpoch closes the group: it begins no pass and rejects orders until BeginEpoch is called.
func (g *Group) EndEpoch() { g.open = false }

// Step returns the number of the last pass begun.
func (g *Group) Step() uint64 { return g.step }

// Size returns the number of ranks.
func (g *Group) Size() int { return len(g.ranks) }

// IsOpen reports whether the group is in an epoch, and thus begins passes and accepts orders.
func (g *Group) IsOpen() bool { return g.open }

// Report returns a rank's report; a map counts as prepared once its copy is complete.
func (g *Group) Report(r int) rank.Report {
	m := g.ranks[r]
	report := rank.Report{
		Group: g.name, Epoch: g.epoch, Rank: r, Size: len(g.ranks), GroupOpen: g.open, Step: g.step, MapVersion: m.inUse.version,
		ArmedVersion: m.armed, HeldStep: m.heldStep, OrderCount: m.orders, Slowdown: 1, ActiveRequests: 1,
	}
	if m.armed != 0 {
		report.ArmedStep = m.armedStep
	}
	if g.now() >= m.copiedAt {
		report.PreparedVersion = m.prepared.version
	}
	return report
}

// Holdings returns the experts that a rank holds of the map in use and of a completely copied one.
func (g *Group) Holdings(r int) rank.Holdings {
	m := g.ranks[r]
	h := rank.Holdings{MapVersion: m.inUse.version, InUse: expertsOf(m.inUse.layout, r)}
	if m.prepared.version != 0 && g.now() >= m.copiedAt {
		h.PreparedVersion, h.Copied = m.prepared.version, expertsOf(m.prepared.layout, r)
	}
	return h
}

// expertsOf returns the experts of rank r in each set of the layout.
func expertsOf(layout rank.Layout, r int) [][]int {
	sets := make([][]int, len(layout))
	for i := range layout {
		sets[i] = slices.Clone(layout[i][r])
	}
	return sets
}

// Apply applies an order to rank r now. An order whose effect is in force already, or that releases another pass than
// the held one, changes nothing. Apply returns an Error of KindConflict if the epoch, the order count or the rank's
// state doesn't match.
func (g *Group) Apply(r int, o rank.Order) error {
	m := &g.ranks[r]
	conflict := func(reason string) error { return fault.Newf(string(o.Verb), kingcupstile.KindConflict, "%s", reason) }
	if !g.open || o.Epoch != g.epoch {
		return conflict("group is closed or in another epoch")
	}
	if satisfied := m.isSatisfied(o); satisfied {
		return nil
	}
	if o.ExpectedOrderCount != m.orders {
		return conflict("order count differs: another order was applied since")
	}
	if o.Verb == rank.VerbRelease && m.heldStep != o.Step {
		return nil
	}
	if !g.isApplicable(m, o) {
		return conflict("order does not apply to the rank's state")
	}
	switch o.Verb {
	case rank.VerbPrepare:
		m.highestVersion, m.prepared, m.copiedAt = o.Version, mapState{version: o.Version, layout: o.Layout}, g.now()+g.copyDuration(r, o.Layout)
	case rank.VerbArm:
		m.armed, m.armedStep = o.Version, o.Step
	case rank.VerbDisarm:
		m.armed = 0
	case rank.VerbHold:
		m.heldStep = o.Step
	case rank.VerbRelease:
		m.heldStep = 0
	}
	if !g.ignoresOrderCount {
		m.orders++
	}
	return nil
}

// isApplicable reports whether a rank's state allows an order.
func (g *Group) isApplicable(m *member, o rank.Order) bool {
	switch o.Verb {
	case rank.VerbPrepare:
		return o.Version > m.highestVersion && m.armed == 0
	case rank.VerbArm:
		return m.prepared.version == o.Version && g.now() >= m.copiedAt && o.Step > g.step && m.armed == 0
	case rank.VerbDisarm:
		return m.armed == o.Version && o.Version != 0
	case rank.VerbHold:
		return o.Step > g.step && m.heldStep == 0
	}
	return true
}

// copyDuration returns how long a rank takes to copy the experts that a layout adds to its map in use.
func (g *Group) copyDuration(r int, layout rank.Layout) time.Duration {
	missing := 0
	for i := range layout {
		for _, e := range layout[i][r] {
			if !slices.Contains(g.ranks[r].inUse.layout[i][r], e) {
				missing++
			}
		}
	}
	return time.Duration(missing) * g.copyTime
}

// isSatisfied reports whether an order's effect is in force already, so that a repeated order succeeds.
func (m *member) isSatisfied(o rank.Order) bool {
	switch o.Verb {
	case rank.VerbPrepare:
		return m.prepared.version == o.Version && o.Version != 0
	case rank.VerbArm:
		return m.armed == o.Version && m.armedStep == o.Step && m.armed != 0
	case rank.VerbHold:
		return m.heldStep == o.Step && m.heldStep != 0
	}
	return false
}

// BeginPass begins the next pass unless the group is closed or a rank holds the pass, and returns an error if two ranks
// use different maps in it.
func (g *Group) BeginPass() error {
	if !g.open {
		return nil
	}
	for _, m := range g.ranks {
		if m.heldStep == g.step+1 {
			return nil
		}
	}
	g.step++
	for r := range g.ranks {
		if m := &g.ranks[r]; m.armed != 0 && m.armedStep == g.step {
			m.inUse, m.armed, m.prepared = m.prepared, 0, mapState{}
		}
	}
	for r := range g.ranks {
		a, b := g.ranks[0].inUse, g.ranks[r].inUse
		if a.version != b.version || !reflect.DeepEqual(a.layout, b.layout) {
			return fmt.Errorf("pass %d runs on different maps: rank 0 uses map %d and rank %d map %d", g.step, a.version, r, b.version)
		}
	}
	return nil
}
