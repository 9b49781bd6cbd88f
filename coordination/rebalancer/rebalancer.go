package rebalancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/expert"
)

const (
	// DefaultWeight is the weight of low skew against few moves, in hundredths.
	DefaultWeight = 50
	// DefaultBudget is how many experts may be loaded for one switch.
	DefaultBudget = 900
	// moveCost is the cost of one move at equal weights. The unit, also of the benefit, is one layer taking twice its
	// mean time for one window.
	moveCost = 0.05
	// startMargin and stopMargin give hysteresis: a layer is rebalanced once its heaviest rank is 3 % above the bound
	// (plus an allowance for noise), and moves are added until it is within 1 %.
	startMargin = 0.03
	stopMargin  = 0.01
	// startNoiseFactor is the allowance for noise on top of startMargin, as a multiple of the noise of the estimate.
	startNoiseFactor = 3
	// minLayerGain is the least reduction of a layer's heaviest rank, relative to the mean, for which the layer is
	// changed; gainNoiseFactor times the noise is added to it.
	minLayerGain    = 0.015
	gainNoiseFactor = 2
	// shortLifetime is the expected lifetime of an estimate, in windows, up to which moves cannot keep up with changes;
	// the plan then covers the previous estimate as well as the current one.
	shortLifetime = 16
	// layerBudgetFactor bounds the moves tried on one layer, as a multiple of its even share of the budget.
	layerBudgetFactor = 1.5
)

// Policy is a greedy rebalancer: it lowers the heaviest rank of each layer towards its bound, and keeps the moves with
// the highest net benefit each, up to a budget. Its zero value is not usable.
type Policy struct {
	weight   int
	budget   int
	isFrozen func(time.Time) bool
}

// Option sets a field of a Policy under construction.
type Option func(*Policy)

// Weight sets the weight of low skew against few moves, in hundredths; it is clamped to 1 to 99.
func Weight(hundredths int) Option { return func(p *Policy) { p.weight = min(max(hundredths, 1), 99) } }

// Budget sets how many experts may be loaded for one switch; it follows from the weight store's throughput.
func Budget(moves int) Option { return func(p *Policy) { p.budget = moves } }

// Frozen sets a predicate that reports whether all moves are forbidden at the given time.
func Frozen(isFrozen func(time.Time) bool) Option { return func(p *Policy) { p.isFrozen = isFrozen } }

// New returns a policy with the defaults, which the options override; it is never frozen unless Frozen says otherwise.
func New(options ...Option) Policy {
	p := Policy{weight: DefaultWeight, budget: DefaultBudget, isFrozen: func(time.Time) bool { return false }}
	for _, option := range options {
		option(&p)
	}
	return p
}

// batch is a group of moves on one layer that are made together, on top of the layer's previous batches.
type batch struct {
	layer int
	// table is the layer's placement after the batch.
	table []uint16
	moves int
	// netBenefit is the benefit less the cost of the moves, in the unit of moveCost.
	netBenefit float64
}

func (b batch) netBenefitPerMove() float64 { return b.netBenefit / float64(b.moves) }

// Rebalance returns the map to switch to, which is current if nothing should move.
func (p Policy) Rebalance(current expert.Map, load expert.Load, at time.Time) expert.Map {
	if p.isFrozen(at) {
		return current
	}
	var batches []batch
	for i := range current.Layers() {
		batches = append(batches, p.batches(current, i, load.Layer(i))...)
	}
	// The net benefit per move falls from batch to batch of a layer, so that a stable sort keeps the batches of a layer
	// in order.
	slices.SortStableFunc(batches, func(a, b batch) int { return cmp.Compare(b.netBenefitPerMove(), a.netBenefitPerMove()) })
	// A layer is full once one of its batches exceeds the budget: its later batches build on that one.
	changed, full, remaining := map[int][]uint16{}, map[int]bool{}, p.budget
	for _, b := range batches {
		if full[b.layer] || b.moves > remaining {
			full[b.layer] = true
			continue
		}
		changed[b.layer] = b.table
		remaining -= b.moves
	}
	if len(changed) == 0 {
		return current
	}
	return current.WithLayers(changed)
}

// batches plans moves on layer i and returns those worth their cost, in batches of falling net benefit per move.
func (p Policy) batches(current expert.Map, i int, load expert.LayerLoad) []batch {
	counts := plannedCounts(load)
	bound, mean := current.LowerBound(counts), current.MeanRankLoad(counts)
	before := current.MaxRankLoad(i, counts)
	target := before - mean*(minLayerGain+gainNoiseFactor*load.Noise)
	if !load.Stable || before <= bound*(1+startMargin+startNoiseFactor*load.Noise) {
		return nil
	}
	cost := moveCost * float64(100-p.weight) / float64(p.weight)
	l := newLayer(current.Slots(), current.Experts(), current.Layer(i), counts, bound)
	var planned []batch
	reached, tried, limit := before, 0, max(int(layerBudgetFactor*float64(p.budget))/current.Layers(), current.Slots())
	for next := (batch{layer: i}); ; {
		c, found := l.best()
		if !found || before <= bound*(1+stopMargin) || tried >= limit {
			break
		}
		l.apply(c)
		after := l.loads[l.heaviest()]
		tried += c.moves()
		next.moves += c.moves()
		next.netBenefit += (before-after)/mean*load.Lifetime - cost*float64(c.moves())
		before = after
		if next.netBenefit > 0 {
			next.table = slices.Clone(l.table)
			planned = merge(planned, next)
			next, reached = batch{layer: i}, after
		}
	}
	if reached > target {
		return nil
	}
	return planned
}

// plannedCounts returns the counts to plan for. Where the load changes faster than experts can be moved, these are the
// larger of each expert's counts before and after the last change.
func plannedCounts(load expert.LayerLoad) []float64 {
	if load.Lifetime > shortLifetime || load.PreviousCounts == nil {
		return load.Counts
	}
	counts := slices.Clone(load.Counts)
	for e, c := range load.PreviousCounts {
		counts[e] = max(counts[e], c)
	}
	return counts
}

// merge appends a batch and joins it with its predecessors until the net benefit per move falls from batch to batch.
func merge(batches []batch, next batch) []batch {
	for n := len(batches); n > 0 && batches[n-1].netBenefitPerMove() <= next.netBenefitPerMove(); n-- {
		next.moves += batches[n-1].moves
		next.netBenefit += batches[n-1].netBenefit
		batches = batches[:n-1]
	}
	return append(batches, next)
}
