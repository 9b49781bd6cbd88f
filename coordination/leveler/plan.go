package leveler

import (
	"slices"
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
	heaviest, mean := 0.0, 0.0
	for i, ranks := range layout {
		s := newPlacement(ranks, d.Set(i), 0, 0)
		heaviest += s.load[s.heaviestRank()]
		mean += s.mean
	}
	if mean == 0 {
		return 1
	}
	return heaviest / mean
}

// Propose returns the plan that gains most over the horizon, and false if none gains more than it costs.
func Propose(current rank.Layout, d Demand, b Bounds) (Plan, bool) {
	if len(current) == 0 || d.Sets() != len(current) {
		return Plan{}, false
	}
	before := Skew(current, d)
	var best Plan
	value, found := 0.0, false
	budget := 1
	for range budgetSteps {
		p := planWithBudget(current, d, b, budget)
		p.Before = before
		if v := b.value(p); before-p.After > minGain && v > value {
			best, value, found = p, v, true
		}
		budget *= 2
	}
	return best, found
}

// value returns the gain of a plan less its cost, in seconds of mean passes.
func (b Bounds) value(p Plan) float64 {
	copying := time.Duration(p.Longest) * b.CopyTime
	remaining := b.Horizon - copying - b.Overhead
	gain := (p.Before - p.After) * remaining.Seconds()
	cost := copySlowdown * p.Before * copying.Seconds()
	return gain - cost - moveCost*p.copiesPerRank()*(1-b.Weight)/max(b.Weight, minWeight)
}

// copiesPerRank returns the mean number of copies for each rank and set.
func (p Plan) copiesPerRank() float64 {
	return float64(p.Copies) / float64(max(1, len(p.Layout)*len(p.Layout[0])))
}

// planWithBudget returns a plan with at most budget copies to each rank. It repeatedly applies the best change to the
// set whose heaviest rank is furthest above the mean.
func planWithBudget(current rank.Layout, d Demand, b Bounds, budget int) Plan {
	ranks := len(current[0])
	sets := make([]*placement, len(current))
	for i := range current {
		sets[i] = newPlacement(current[i], d.Set(i), b.Places, b.Spare)
	}
	remaining := make([]int, ranks)
	for r := range remaining {
		remaining[r] = budget
	}
	stuck := make([]bool, len(sets))
	for {
		at := worstSet(sets, stuck)
		if at < 0 {
			break
		}
		if !sets[at].applyBestChange(remaining) {
			stuck[at] = true
		}
	}
	p := Plan{Layout: make(rank.Layout, len(sets))}
	heaviest, mean := 0.0, 0.0
	for i, s := range sets {
		for _, experts := range s.experts {
			slices.Sort(experts)
		}
		p.Layout[i] = s.experts
		heaviest += s.load[s.heaviestRank()]
		mean += s.mean
	}
	p.After = 1
	if mean > 0 {
		p.After = heaviest / mean
	}
	for _, l := range remaining {
		p.Copies += budget - l
		p.Longest = max(p.Longest, budget-l)
	}
	return p
}

// worstSet returns the index of the set whose heaviest rank is furthest above the mean, and -1 if all are level or
// stuck.
func worstSet(sets []*placement, stuck []bool) int {
	at, most := -1, 0.0
	for i, s := range sets {
		if stuck[i] {
			continue
		}
		if over := s.load[s.heaviestRank()] - (1+loadMargin)*s.mean; over > most {
			at, most = i, over
		}
	}
	return at
}

// loadMargin is the fraction above the mean up to which a rank's load counts as level.
const loadMargin = 0.01

// placement is how one set's experts are spread over the ranks while changes are tried.
type placement struct {
	places, spare int
	// experts lists the experts of each rank, and initial those of the layout in use.
	experts [][]int
	demand  []float64
	// holders lists the ranks that hold each expert.
	holders [][]int
	load    []float64
	added   []int
	initial [][]int
	mean    float64
	// excess is the sum over all ranks of squaredExcess.
	excess float64
}

func newPlacement(initial [][]int, demand []float64, places, spare int) *placement {
	s := &placement{
		places: places, spare: spare, demand: demand, initial: initial, experts: make([][]int, len(initial)),
		holders: make([][]int, len(demand)), load: make([]float64, len(initial)), added: make([]int, len(initial)),
		mean: sum(demand) / float64(max(1, len(initial))),
	}
	for r, experts := range initial {
		s.experts[r] = slices.Clone(experts)
		for _, e := range experts {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	for r, experts := range initial {
		for _, e := range experts {
			s.load[r] += s.loadShare(e)
		}
	}
	for _, l := range s.load {
		s.excess += s.squaredExcess(l)
	}
	return s
}

func (s *placement) loadShare(e int) float64 { return s.demand[e] / float64(max(1, len(s.holders[e]))) }

func (s *placement) heaviestRank() int {
	at := 0
	for r, l := range s.load {
		if l > s.load[at] {
			at = r
		}
	}
	return at
}

// change is one copy of an expert to a rank, with the experts that are dropped in return.
type change struct {
	expert, to int
	// evicted is the expert that the target rank drops, -1 for none.
	evicted int
	// from is the rank that drops the copied expert, -1 for none.
	from int
}

// maxTargets is how many of the least loaded ranks are considered for a copy.
const maxTargets = 6

// applyBestChange applies the change that reduces the excess most, and reports whether there was one. remaining is how
// many copies each rank may still take.
func (s *placement) applyBestChange(remaining []int) bool {
	heavy := s.heaviestRank()
	light := s.lightestRanks(remaining)
	var best change
	gain := 1e-9 * s.mean * s.mean
	found := false
	for _, e := range s.experts[heavy] {
		for _, to := range light {
			if to == heavy || slices.Contains(s.experts[to], e) || !s.canTake(to, e, remaining) {
				continue
			}
			for _, c := range s.changesFor(e, heavy, to) {
				if g := s.gain(c); g > gain {
					best, gain, found = c, g, true
				}
			}
		}
	}
	if !found {
		return false
	}
	if !slices.Contains(s.initial[best.to], best.expert) {
		remaining[best.to]--
		s.added[best.to]++
	}
	s.apply(best)
	return true
}

// canTake reports whether a rank may take an expert in. One that it holds in the layout in use costs no copy.
func (s *placement) canTake(to, e int, remaining []int) bool {
	return slices.Contains(s.initial[to], e) || remaining[to] > 0 && s.added[to] < s.spare
}

// lightestRanks returns the least loaded ranks below the mean that may take an expert in, at most maxTargets.
func (s *placement) lightestRanks(remaining []int) []int {
	var list []int
	for r := range s.load {
		if s.load[r] < s.mean && (remaining[r] > 0 && s.added[r] < s.spare || len(s.initial[r]) > 0) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b int) int {
		switch {
		case s.load[a] < s.load[b]:
			return -1
		case s.load[a] > s.load[b]:
			return 1
		}
		return a - b
	})
	return list[:min(len(list), maxTargets)]
}

// changesFor returns the changes that copy an expert of the heaviest rank to another rank, with and without dropping
// it from the heaviest. A rank without a free place evicts an expert that another rank holds as well.
func (s *placement) changesFor(e, heavy, to int) []change {
	evictions := []int{-1}
	if len(s.experts[to]) >= s.places {
		evictions = evictions[:0]
		for _, f := range s.experts[to] {
			if len(s.holders[f]) > 1 {
				evictions = append(evictions, f)
			}
		}
	}
	list := make([]change, 0, 2*len(evictions))
	for _, f := range evictions {
		list = append(list, change{expert: e, to: to, evicted: f, from: -1}, change{expert: e, to: to, evicted: f, from: heavy})
	}
	return list
}

// gain returns by how much a change reduces the excess. It applies the change and reverts it.
func (s *placement) gain(c change) float64 {
	before := s.excess
	s.apply(c)
	after := s.excess
	s.revert(c)
	return before - after
}

// squaredExcess returns the square of the part of a load that is above the mean, 0 below it.
func (s *placement) squaredExcess(load float64) float64 {
	above := max(0, load-s.mean)
	return above * above
}

// addLoad adds to a rank's load and updates the excess.
func (s *placement) addLoad(r int, by float64) {
	s.excess -= s.squaredExcess(s.load[r])
	s.load[r] += by
	s.excess += s.squaredExcess(s.load[r])
}

func (s *placement) apply(c change) {
	s.addCopy(c.to, c.expert)
	if c.evicted >= 0 {
		s.removeCopy(c.to, c.evicted)
	}
	if c.from >= 0 {
		s.removeCopy(c.from, c.expert)
	}
}

func (s *placement) revert(c change) {
	if c.from >= 0 {
		s.addCopy(c.from, c.expert)
	}
	if c.evicted >= 0 {
		s.addCopy(c.to, c.evicted)
	}
	s.removeCopy(c.to, c.expert)
}

// addCopy gives a rank a copy of an expert, and redistributes the expert's load over its holders.
func (s *placement) addCopy(r, e int) {
	before := s.loadShare(e)
	holders := s.holders[e]
	s.holders[e] = append(holders, r)
	after := s.loadShare(e)
	for _, h := range holders {
		s.addLoad(h, after-before)
	}
	s.addLoad(r, after)
	s.experts[r] = append(s.experts[r], e)
}

// removeCopy takes an expert from a rank, and redistributes the expert's load over the remaining holders.
func (s *placement) removeCopy(r, e int) {
	before := s.loadShare(e)
	s.addLoad(r, -before)
	at := slices.Index(s.experts[r], e)
	s.experts[r] = append(s.experts[r][:at], s.experts[r][at+1:]...)
	at = slices.Index(s.holders[e], r)
	s.holders[e] = append(s.holders[e][:at], s.holders[e][at+1:]...)
	after := s.loadShare(e)
	for _, h := range s.holders[e] {
		s.addLoad(h, after-before)
	}
}
