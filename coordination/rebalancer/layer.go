package rebalancer

import (
	"cmp"
	"slices"
)

// minGain is the reduction of the penalty per move, relative to the square of the bound, that a candidate must exceed.
const minGain = 1e-5

// maxRanksTried is how many of the heaviest ranks are searched for a candidate.
const maxRanksTried = 4

// layer is the working copy of one layer's placement, which candidates are applied to; one call of Rebalance owns it.
type layer struct {
	slots  int
	table  []uint16
	counts []float64
	// bound is the load above which a rank counts as too heavy.
	bound float64
	// loads holds the load of each rank.
	loads []float64
	// holders lists, for each expert, the slots that hold it.
	holders [][]int
	// addGain and removeCost are, for each expert, the reduction and the rise of the penalties of the ranks that hold
	// it when a replica is added elsewhere or removed.
	addGain, removeCost []float64
	// replicaLoad is, for each expert, the load of one replica; like addGain and removeCost it is as of the last call
	// of best.
	replicaLoad []float64
}

// candidate is a possible change of the placement: slot takes expert, and in a swap other takes what slot held.
type candidate struct {
	slot, other int
	expert      uint16
	swap        bool
}

// moves returns how many experts have to be loaded.
func (c candidate) moves() int {
	if c.swap {
		return 2
	}
	return 1
}

// newLayer returns a working copy of table, in which ranks with loads above bound count as too heavy.
func newLayer(slots, experts int, table []uint16, counts []float64, bound float64) *layer {
	l := &layer{
		slots: slots, table: slices.Clone(table), counts: counts, bound: bound,
		loads: make([]float64, len(table)/slots), holders: make([][]int, experts),
		addGain: make([]float64, experts), removeCost: make([]float64, experts), replicaLoad: make([]float64, experts),
	}
	for i, e := range l.table {
		l.holders[e] = append(l.holders[e], i)
	}
	for i, e := range l.table {
		l.loads[i/slots] += l.loadPerReplica(e)
	}
	return l
}

func (l *layer) loadPerReplica(e uint16) float64 { return l.counts[e] / float64(len(l.holders[e])) }

// heaviest returns the rank with the highest load.
func (l *layer) heaviest() int {
	rank := 0
	for r, load := range l.loads {
		if load > l.loads[rank] {
			rank = r
		}
	}
	return rank
}

func (l *layer) hasExpert(rank int, e uint16) bool {
	return slices.Contains(l.table[rank*l.slots:(rank+1)*l.slots], e)
}

// penalty returns the square of the load above the bound; candidates are rated by how far they reduce the sum over
// ranks.
func (l *layer) penalty(load float64) float64 {
	over := max(0, load-l.bound)
	return over * over
}

// best returns the candidate with the largest penalty reduction per move, on the heaviest rank that has a candidate. It
// returns false if none of the maxRanksTried heaviest ranks above the bound has one.
func (l *layer) best() (candidate, bool) {
	l.updateReplicaEffects()
	ranks := l.ranksAboveBound()
	for _, rank := range ranks[:min(maxRanksTried, len(ranks))] {
		if c, found := l.bestOn(rank); found {
			return c, true
		}
	}
	return candidate{}, false
}

// updateReplicaEffects computes addGain, removeCost and replicaLoad for the current placement.
func (l *layer) updateReplicaEffects() {
	for e, holders := range l.holders {
		n := float64(len(holders))
		dropPerAdded := l.counts[e]/n - l.counts[e]/(n+1)
		risePerRemoved := 0.0
		if n > 1 {
			risePerRemoved = l.counts[e]/(n-1) - l.counts[e]/n
		}
		l.addGain[e], l.removeCost[e], l.replicaLoad[e] = 0, 0, l.counts[e]/n
		for _, i := range holders {
			load := l.loads[i/l.slots]
			current := l.penalty(load)
			l.addGain[e] += current - l.penalty(load-dropPerAdded)
			l.removeCost[e] += l.penalty(load+risePerRemoved) - current
		}
	}
}

// ranksAboveBound returns the ranks with a load above the bound, heaviest first.
func (l *layer) ranksAboveBound() []int {
	var ranks []int
	for rank, load := range l.loads {
		if load > l.bound {
			ranks = append(ranks, rank)
		}
	}
	slices.SortFunc(ranks, func(a, b int) int { return cmp.Compare(l.loads[b], l.loads[a]) })
	return ranks
}

// bestOn returns the best candidate that relieves one heavy rank, and false if none exceeds minGain.
func (l *layer) bestOn(heavy int) (candidate, bool) {
	var found candidate
	least := minGain * l.bound * l.bound
	gain := least
	try := func(c candidate, reduction float64) {
		if reduction /= float64(c.moves()); reduction > gain {
			found, gain = c, reduction
		}
	}
	for a := heavy * l.slots; a < (heavy+1)*l.slots; a++ {
		e := l.table[a]
		l.tryLighterRanks(heavy, a, try)
		if len(l.holders[e]) < 2 {
			continue
		}
		for f := range l.holders {
			if l.replicaLoad[f] < l.replicaLoad[e] && !l.hasExpert(heavy, uint16(f)) {
				try(candidate{slot: a, expert: uint16(f)}, l.replaceGain(a, uint16(f)))
			}
		}
	}
	return found, gain > least
}

// tryLighterRanks passes to try the candidates that replicate the expert in slot a of a heavy rank on a rank below the
// bound, or swap it for a lighter expert there.
func (l *layer) tryLighterRanks(heavy, a int, try func(candidate, float64)) {
	e, load := l.table[a], l.loads[heavy]
	added := l.counts[e] / float64(len(l.holders[e])+1)
	for b, f := range l.table {
		rank := b / l.slots
		room := load - l.loads[rank] + l.replicaLoad[f]
		canReplicate, canSwap := added < room && len(l.holders[f]) > 1, l.replicaLoad[f] < l.replicaLoad[e] && l.replicaLoad[e] < room
		if l.loads[rank] >= l.bound || !canReplicate && !canSwap || l.hasExpert(rank, e) {
			continue
		}
		if canReplicate {
			try(candidate{slot: b, expert: e}, l.replaceGain(b, e))
		}
		if canSwap && !l.hasExpert(heavy, f) {
			try(candidate{slot: a, other: b, expert: f, swap: true}, l.swapGain(a, b))
		}
	}
}

// swapGain returns the reduction of the penalties if slots a and b swap their experts.
func (l *layer) swapGain(a, b int) float64 {
	ra, rb := a/l.slots, b/l.slots
	d := l.replicaLoad[l.table[a]] - l.replicaLoad[l.table[b]]
	return l.penalty(l.loads[ra]) + l.penalty(l.loads[rb]) - l.penalty(l.loads[ra]-d) - l.penalty(l.loads[rb]+d)
}

// replaceGain returns the reduction of the penalties if slot a takes another replica of e in place of what it holds. It
// is approximate for other ranks that hold both experts: the two changes of their load are rated independently.
func (l *layer) replaceGain(a int, e uint16) float64 {
	old := l.table[a]
	n, m := float64(len(l.holders[e])), float64(len(l.holders[old]))
	load := l.loads[a/l.slots]
	// removeCost rates slot a's rank as if it kept a replica of old; adding own takes that back.
	own := l.penalty(load + l.counts[old]/(m-1) - l.counts[old]/m)
	return l.addGain[e] - l.removeCost[old] + own - l.penalty(load-l.counts[old]/m+l.counts[e]/(n+1))
}

func (l *layer) apply(c candidate) {
	if c.swap {
		l.setSlot(c.other, l.table[c.slot])
	}
	l.setSlot(c.slot, c.expert)
}

// setSlot puts e in slot i and updates loads and holders.
func (l *layer) setSlot(i int, e uint16) {
	old := l.table[i]
	for _, x := range []uint16{old, e} {
		for _, h := range l.holders[x] {
			l.loads[h/l.slots] -= l.loadPerReplica(x)
		}
	}
	at := slices.Index(l.holders[old], i)
	l.holders[old] = slices.Delete(l.holders[old], at, at+1)
	l.holders[e] = append(l.holders[e], i)
	l.table[i] = e
	for _, x := range []uint16{old, e} {
		for _, h := range l.holders[x] {
			l.loads[h/l.slots] += l.loadPerReplica(x)
		}
	}
}
