package leveler

import (
	"slices"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

// search improves a layout step by step under a budget of copies for each rank that is raised between runs, so that each
// run continues where the one before it ended.
type search struct {
	sets []*placement
	// remaining is how many copies each rank may still take over all sets, and taken how many it takes.
	remaining, taken []int
}

func newSearch(current rank.Layout, d Demand, b Bounds) *search {
	ranks := len(current[0])
	s := &search{sets: make([]*placement, len(current)), remaining: make([]int, ranks), taken: make([]int, ranks)}
	for i := range current {
		s.sets[i] = newPlacement(current[i], d.Set(i), b.Places, b.Spare)
	}
	return s
}

// run applies the best change to the set whose heaviest rank is furthest above the mean until no change helps, with at
// most budget copies to each rank.
func (s *search) run(budget int) {
	for r := range s.remaining {
		s.remaining[r] = budget - s.taken[r]
	}
	stuck := make([]bool, len(s.sets))
	for at := s.worstSet(stuck); at >= 0; at = s.worstSet(stuck) {
		stuck[at] = !s.improve(s.sets[at])
	}
}

// worstSet returns the index of the set whose heaviest rank is furthest above the mean, and -1 if all are level or
// stuck.
func (s *search) worstSet(stuck []bool) int {
	at, most := -1, 0.0
	for i, p := range s.sets {
		if stuck[i] {
			continue
		}
		if over := p.load[p.heaviest] - (1+loadMargin)*p.mean; over > most {
			at, most = i, over
		}
	}
	return at
}

// improve applies the change that reduces a set's excess most, and reports whether there was one. It first tries only
// the least loaded ranks as targets, and more of them if none of those helps.
func (s *search) improve(p *placement) bool {
	for _, targets := range []int{fewTargets, manyTargets} {
		c, found := p.bestChange(s.remaining, targets)
		if !found {
			continue
		}
		for _, m := range c.moves() {
			s.count(p, m.to, m.expert, 1)
			s.count(p, m.from, m.expert, -1)
		}
		p.apply(c)
		return true
	}
	return false
}

// count adds n to the copies that a rank takes, unless it holds the expert in the layout in use and so need not copy it.
func (s *search) count(p *placement, r, expert, n int) {
	if r == none || slices.Contains(p.initial[r], expert) {
		return
	}
	p.added[r] += n
	s.taken[r] += n
	s.remaining[r] -= n
}

// plan returns the skew and the copies of the layout reached, without the layout itself.
func (s *search) plan() Plan {
	p := Plan{After: skewOf(s.sets)}
	for _, n := range s.taken {
		p.Copies += n
		p.Longest = max(p.Longest, n)
	}
	return p
}

// skewOf returns the sum over all sets of the heaviest rank's load, divided by the sum of the mean loads.
func skewOf(sets []*placement) float64 {
	heaviest, mean := 0.0, 0.0
	for _, set := range sets {
		heaviest += set.load[set.heaviest]
		mean += set.mean
	}
	if mean == 0 {
		return 1
	}
	return heaviest / mean
}

// layout returns the layout reached.
func (s *search) layout() rank.Layout {
	layout := make(rank.Layout, len(s.sets))
	for i, set := range s.sets {
		layout[i] = make([][]int, len(set.experts))
		for r, experts := range set.experts {
			layout[i][r] = slices.Sorted(slices.Values(experts))
		}
	}
	return layout
}
