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

// Group is a rank group.
type Group struct {
	name  string
	epoch uint64
	step  uint64
	open  bool
	first rank.Layout
	now   func() time.Duration
	copy  time.Duration
	ranks []member
	// uncounted says that orders about maps do not add to the number of orders, so that late ones are not refused by it.
	uncounted bool
}

// Option sets a field of a Group under construction.
type Option func(*Group)

// Uncounted has orders about maps not count as orders.
func Uncounted() Option { return func(g *Group) { g.uncounted = true } }

// member is one rank.
type member struct {
	orders   uint64
	highest  uint64
	inUse    held
	prepared held
	// copied is when the prepared map is copied whole.
	copied time.Duration
	armed  uint64
	at     uint64
	held   uint64
}

// held is a version of the map and what the rank holds of it.
type held struct {
	version uint64
	layout  rank.Layout
}

// New returns an open group that begins with a layout, reads the time from now and copies each expert in a time.
func New(name string, first rank.Layout, now func() time.Duration, perCopy time.Duration, options ...Option) *Group {
	g := &Group{name: name, first: first, now: now, copy: perCopy}
	for _, option := range options {
		option(g)
	}
	g.Form()
	return g
}

// Form begins a new epoch: all ranks use the first map and know of no order.
func (g *Group) Form() {
	g.epoch++
	g.open = true
	g.ranks = make([]member, len(g.first[0]))
	for r := range g.ranks {
		g.ranks[r].inUse = held{layout: g.first}
	}
}

// Break ends the epoch until Form is called.
func (g *Group) Break() { g.open = false }

// Step returns the last pass that was begun.
func (g *Group) Step() uint64 { return g.step }

// Size returns how many ranks there are.
func (g *Group) Size() int { return len(g.ranks) }

// IsOpen reports whether the group makes passes.
func (g *Group) IsOpen() bool { return g.open }

// Report returns what a rank says of itself.
func (g *Group) Report(r int) rank.Report {
	m := g.ranks[r]
	report := rank.Report{
		Group: g.name, Epoch: g.epoch, Rank: r, Size: len(g.ranks), GroupOpen: g.open, Step: g.step, MapVersion: m.inUse.version,
		ArmedVersion: m.armed, HeldStep: m.held, OrderCount: m.orders, Slowdown: 1, ActiveRequests: 1,
	}
	if m.armed != 0 {
		report.ArmedStep = m.at
	}
	if g.now() >= m.copied {
		report.PreparedVersion = m.prepared.version
	}
	return report
}

// Holdings returns what a rank holds.
func (g *Group) Holdings(r int) rank.Holdings {
	m := g.ranks[r]
	h := rank.Holdings{MapVersion: m.inUse.version, InUse: part(m.inUse.layout, r)}
	if m.prepared.version != 0 && g.now() >= m.copied {
		h.PreparedVersion, h.Copied = m.prepared.version, part(m.prepared.layout, r)
	}
	return h
}

func part(layout rank.Layout, r int) [][]int {
	sets := make([][]int, len(layout))
	for i := range layout {
		sets[i] = slices.Clone(layout[i][r])
	}
	return sets
}

// Give carries an order out now, or returns an Error of KindConflict if it does not fit the rank's state.
func (g *Group) Give(r int, o rank.Order) error {
	m := &g.ranks[r]
	conflict := func(why string) error { return fault.Newf(string(o.Verb), kingcupstile.KindConflict, "%s", why) }
	if !g.open || o.Epoch != g.epoch {
		return conflict("another epoch")
	}
	if done := m.holds(o); done {
		return nil
	}
	if o.ExpectedOrderCount != m.orders {
		return conflict("another order began")
	}
	if o.Verb == rank.VerbRelease && m.held != o.Step {
		return nil
	}
	if !g.fits(m, o) {
		return conflict("the rank's state")
	}
	switch o.Verb {
	case rank.VerbPrepare:
		m.highest, m.prepared, m.copied = o.Version, held{version: o.Version, layout: o.Layout}, g.now()+g.copying(r, o.Layout)
	case rank.VerbArm:
		m.armed, m.at = o.Version, o.Step
	case rank.VerbDisarm:
		m.armed = 0
	case rank.VerbHold:
		m.held = o.Step
	case rank.VerbRelease:
		m.held = 0
	}
	if !g.uncounted {
		m.orders++
	}
	return nil
}

// fits reports whether an order fits a rank's state.
func (g *Group) fits(m *member, o rank.Order) bool {
	switch o.Verb {
	case rank.VerbPrepare:
		return o.Version > m.highest && m.armed == 0
	case rank.VerbArm:
		return m.prepared.version == o.Version && g.now() >= m.copied && o.Step > g.step && m.armed == 0
	case rank.VerbDisarm:
		return m.armed == o.Version && o.Version != 0
	case rank.VerbHold:
		return o.Step > g.step && m.held == 0
	}
	return true
}

// copying returns how long a rank copies what a layout gives it anew.
func (g *Group) copying(r int, layout rank.Layout) time.Duration {
	fresh := 0
	for i := range layout {
		for _, e := range layout[i][r] {
			if !slices.Contains(g.ranks[r].inUse.layout[i][r], e) {
				fresh++
			}
		}
	}
	return time.Duration(fresh) * g.copy
}

// holds reports whether the state that an order asks for holds already.
func (m *member) holds(o rank.Order) bool {
	switch o.Verb {
	case rank.VerbPrepare:
		return m.prepared.version == o.Version && o.Version != 0
	case rank.VerbArm:
		return m.armed == o.Version && m.at == o.Step && m.armed != 0
	case rank.VerbHold:
		return m.held == o.Step && m.held != 0
	}
	return false
}

// Pass begins the next pass unless a rank holds it, and returns an error if two ranks use different maps in it.
func (g *Group) Pass() error {
	if !g.open {
		return nil
	}
	for _, m := range g.ranks {
		if m.held == g.step+1 {
			return nil
		}
	}
	g.step++
	for r := range g.ranks {
		if m := &g.ranks[r]; m.armed != 0 && m.at == g.step {
			m.inUse, m.armed, m.prepared = m.prepared, 0, held{}
		}
	}
	for r := range g.ranks {
		a, b := g.ranks[0].inUse, g.ranks[r].inUse
		if a.version != b.version || !reflect.DeepEqual(a.layout, b.layout) {
			return fmt.Errorf("pass %d: rank 0 uses map %d and rank %d map %d", g.step, a.version, r, b.version)
		}
	}
	return nil
}
