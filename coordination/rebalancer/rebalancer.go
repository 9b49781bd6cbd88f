package rebalancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/expert"
)

const (
	// DefaultWeight is the weight of skew against moves in hundredths.
	DefaultWeight = 50
	// DefaultBudget is how many experts may be loaded for one switch.
	DefaultBudget = 900
	// price is what one move costs at equal weights, in windows in which one layer takes twice its mean time.
	price = 0.05
	// enter and goal are how far above the bound the heaviest rank has to be before anything moves, and after it.
	enter = 0.03
	goal  = 0.01
	// certainty is how many times the noise an excess must be to count.
	certainty = 3
	// leastGainOfLayer and chance say how far a layer's heaviest rank has to come down, beside the noise, for a move to pay.
	leastGainOfLayer = 0.015
	chance           = 2
	// brief is the lifetime in windows of an estimate up to which it isn't followed but joined with the one before.
	brief = 16
	// share bounds the moves tried on one layer, as a multiple of its even share of the budget.
	share = 1.5
)

// Policy moves the fewest experts that bring the heaviest rank down to its goal, if that pays.
type Policy struct {
	weight int
	budget int
	frozen func(time.Time) bool
}

// Option sets a field of a Policy under construction.
type Option func(*Policy)

// Weight sets the weight of skew against moves in hundredths, from 1 to 99.
func Weight(hundredths int) Option { return func(p *Policy) { p.weight = min(max(hundredths, 1), 99) } }

// Budget sets how many experts may be loaded for one switch, which the weight store's rate decides.
func Budget(moves int) Option { return func(p *Policy) { p.budget = moves } }

// Frozen sets when nothing may move.
func Frozen(frozen func(time.Time) bool) Option { return func(p *Policy) { p.frozen = frozen } }

// New returns a policy.
func New(options ...Option) Policy {
	p := Policy{weight: DefaultWeight, budget: DefaultBudget, frozen: func(time.Time) bool { return false }}
	for _, option := range options {
		option(&p)
	}
	return p
}

// offer is what one layer gains by some moves beyond those of the layer's offer before.
type offer struct {
	layer int
	table []uint16
	moves int
	value float64
}

// rate returns the value of an offer for each of its moves.
func (o offer) rate() float64 { return o.value / float64(o.moves) }

// Rebalance returns the map to switch to, which is current if nothing should move.
func (p Policy) Rebalance(current expert.Map, load expert.Load, at time.Time) expert.Map {
	if p.frozen(at) {
		return current
	}
	var offers []offer
	for i := range current.Layers() {
		offers = append(offers, p.offers(current, i, load.Layer(i))...)
	}
	// A layer's offers have falling rates, so that a stable sort leaves them in order.
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(b.rate(), a.rate()) })
	changed, full, left := map[int][]uint16{}, map[int]bool{}, p.budget
	for _, o := range offers {
		if full[o.layer] || o.moves > left {
			full[o.layer] = true
			continue
		}
		changed[o.layer] = o.table
		left -= o.moves
	}
	if len(changed) == 0 {
		return current
	}
	return current.WithLayers(changed)
}

// offers tries moves on one layer and returns those worth their cost, in pieces of falling value for each move.
func (p Policy) offers(current expert.Map, i int, load expert.LayerLoad) []offer {
	counts := expected(load)
	bound, mean := current.LowerBound(counts), current.MeanRankLoad(counts)
	before := current.MaxRankLoad(i, counts)
	least := before - mean*(leastGainOfLayer+chance*load.Noise)
	if !load.Stable || before <= bound*(1+enter+certainty*load.Noise) {
		return nil
	}
	cost := price * float64(100-p.weight) / float64(p.weight)
	l := newLayer(current.Slots(), current.Experts(), current.Layer(i), counts, bound)
	var pieces []offer
	reached, tried, limit := before, 0, max(int(share*float64(p.budget))/current.Layers(), current.Slots())
	for piece := (offer{layer: i}); ; {
		t, found := l.best()
		if !found || before <= bound*(1+goal) || tried >= limit {
			break
		}
		l.apply(t)
		after := l.loads[l.heaviest()]
		tried += t.moves()
		piece.moves += t.moves()
		piece.value += (before-after)/mean*load.Lifetime - cost*float64(t.moves())
		before = after
		if piece.value > 0 {
			piece.table = slices.Clone(l.table)
			pieces = merge(pieces, piece)
			piece, reached = offer{layer: i}, after
		}
	}
	if reached > least {
		return nil
	}
	return pieces
}

// expected returns the counts to plan for: where topics come and go faster than experts can follow, the most that each
// expert got before and after the change.
func expected(load expert.LayerLoad) []float64 {
	if load.Lifetime > brief || load.PreviousCounts == nil {
		return load.Counts
	}
	counts := slices.Clone(load.Counts)
	for e, c := range load.PreviousCounts {
		counts[e] = max(counts[e], c)
	}
	return counts
}

// merge adds a piece and joins pieces until their rates fall.
func merge(pieces []offer, piece offer) []offer {
	for n := len(pieces); n > 0 && pieces[n-1].rate() <= piece.rate(); n-- {
		piece.moves += pieces[n-1].moves
		piece.value += pieces[n-1].value
		pieces = pieces[:n-1]
	}
	return append(pieces, piece)
}
