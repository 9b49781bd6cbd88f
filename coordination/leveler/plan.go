package leveler

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Bounds limits the layout, and gives the cost of changing it.
type Bounds struct {
	// Places is how many experts of a set a rank can hold, and Spare how many of them it can take in at once.
	Places, Spare int
	// CopyTime is how long a rank takes to copy one expert.
	CopyTime time.Duration
	// Overhead is the time from the decision to the switch, apart from copying.
	Overhead time.Duration
	// Horizon is how long the current demand is expected to last.
	Horizon time.Duration
	// Weight is the weight of skew relative to copies, from 0 to 1.
	Weight float64
}

// Plan is a layout to switch to, with its skew and its copies.
type Plan struct {
	Layout rank.Layout
	// Before and After are the skew of the current and the planned layout.
	Before, After float64
	// Copies is how many experts are copied in all, and Longest how many by the rank that copies most.
	Copies, Longest int
}

const (
	// copySlowdown is the fraction by which passes take longer while a rank copies.
	copySlowdown = 0.15
	// minGain is the smallest reduction of the skew for which a layout is changed. Smaller ones are within the noise.
	minGain = 0.04
	// moveCost is the cost of one copy for each rank and set at equal weights, in seconds of mean passes. It keeps
	// changes that gain little from loading the links between VMs. At a weight of 0.9 (nine parts of skew to one of
	// copies), a ninth of it counts.
	moveCost = 14
	// minWeight is the lowest weight of skew in the cost of copies, so that a weight of 0 does not divide by zero.
	minWeight = 0.01
	// budgetSteps is how many budgets of copies for each rank are tried. They double from 1: small ones are copied
	// quickly, large ones reduce the skew further.
	budgetSteps = 5
)

// InitialLayout returns the layout that groups start with: the experts are assigned to the ranks round-robin.
func InitialLayout(sets, experts, ranks int) rank.Layout {
	layout := make(rank.Layout, sets)
	for i := range layout {
		layout[i] = make([][]int, ranks)
		for e := range experts {
			layout[i][e%ranks] = append(layout[i][e%ranks], e)
		}
	}
	return layout
}

// Skew returns the sum over all sets of the heaviest rank's load, divided by the sum of the mean loads. It is 1 if all
// loads are equal.
func Skew(layout rank.Layout, d Demand) float64 {
	sets := make([]*placement, len(layout))
	for i, ranks := range layout {
		sets[i] = newPlacement(ranks, d.Set(i), 0, 0)
	}
	return skewOf(sets)
}

// Propose returns the plan that gains most over the horizon, and false if none gains more than it costs.
func Propose(current rank.Layout, d Demand, b Bounds) (Plan, bool) {
	if len(current) == 0 || d.Sets() != len(current) {
		return Plan{}, false
	}
	s := newSearch(current, d, b)
	before := skewOf(s.sets)
	if before-1 <= minGain {
		return Plan{}, false
	}
	var best Plan
	value, found := 0.0, false
	for step := range budgetSteps {
		s.run(1 << step)
		p := s.plan()
		p.Before = before
		if v := b.value(p, len(current), len(current[0])); before-p.After > minGain && v > value {
			p.Layout = s.layout()
			best, value, found = p, v, true
		}
	}
	return best, found
}

// value returns the gain of a plan less its cost, in seconds of mean passes.
func (b Bounds) value(p Plan, sets, ranks int) float64 {
	copying := time.Duration(p.Longest) * b.CopyTime
	remaining := b.Horizon - copying - b.Overhead
	gain := (p.Before - p.After) * remaining.Seconds()
	cost := copySlowdown * p.Before * copying.Seconds()
	copiesPerRank := float64(p.Copies) / float64(max(1, sets*ranks))
	return gain - cost - moveCost*copiesPerRank*(1-b.Weight)/max(b.Weight, minWeight)
}
