package leveler

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Bounds say what a layout may be and what a change of it costs.
type Bounds struct {
	// Places is how many experts of a set a rank can hold, and Spare how many it can take in at once.
	Places, Spare int
	// Copy is the time that a rank needs for each expert that is new to it.
	Copy time.Duration
	// Lead is the time from the decision to the switch besides copying.
	Lead time.Duration
	// Horizon is how long demand is expected to last.
	Horizon time.Duration
	// Weight is the weight of skew against moves, from 0 to 1.
	Weight float64
}

// Plan is a layout to switch to.
type Plan struct {
	Layout rank.Layout
	// Before and After are the heaviest ranks' loads over the mean, now and then.
	Before, After float64
	// Copies is how many experts are copied, and Longest how many by one rank.
	Copies, Longest int
}

const (
	// copyingSlows is how much longer passes take while a rank copies: the platform says 15 in 100.
	copyingSlows = 0.15
	// leastGain is the least fall of the heaviest load over the mean that a change is made for: less is within the noise.
	leastGain = 0.04
	// movePrice is what a copy for each rank and set costs at equal weights, in seconds of mean passes: with nine parts of
	// skew to one of moves, about what the users charge for copying against slow passes.
	movePrice = 14
	// leastWeight is the weight of skew that is counted with at least, so that a weight of 0 divides nothing.
	leastWeight = 0.01
	// budgetSteps are the copies for each rank that plans are tried with: few are quick, many bring more.
	budgetSteps = 5
)

// First returns the layout that groups begin with: experts are dealt to ranks in turn.
func First(sets, experts, ranks int) rank.Layout {
	layout := make(rank.Layout, sets)
	for i := range layout {
		layout[i] = make([][]int, ranks)
		for e := range experts {
			layout[i][e%ranks] = append(layout[i][e%ranks], e)
		}
	}
	return layout
}

// Skew returns the sum over sets of the heaviest rank's load, over the sum of the means.
func Skew(layout rank.Layout, d Demand) float64 {
	heaviest, mean := 0.0, 0.0
	for i, ranks := range layout {
		s := newSet(ranks, d.Set(i), 0, 0)
		heaviest += s.load[s.heaviest()]
		mean += s.mean
	}
	if mean == 0 {
		return 1
	}
	return heaviest / mean
}

// Propose returns the change of a layout that gains most over the time that demand lasts, and false if none pays.
func Propose(current rank.Layout, d Demand, b Bounds) (Plan, bool) {
	if len(current) == 0 || d.Sets() != len(current) {
		return Plan{}, false
	}
	before := Skew(current, d)
	var best Plan
	value, found := 0.0, false
	budget := 1
	for range budgetSteps {
		p := level(current, d, b, budget)
		p.Before = before
		if v := b.value(p); before-p.After > leastGain && v > value {
			best, value, found = p, v, true
		}
		budget *= 2
	}
	return best, found
}

// value returns what a plan gains, in seconds of mean passes.
func (b Bounds) value(p Plan) float64 {
	copying := time.Duration(p.Longest) * b.Copy
	left := b.Horizon - copying - b.Lead
	gain := (p.Before - p.After) * left.Seconds()
	cost := copyingSlows * p.Before * copying.Seconds()
	return gain - cost - movePrice*p.moved()*(1-b.Weight)/max(b.Weight, leastWeight)
}

// moved returns how many experts are copied for each rank and set.
func (p Plan) moved() float64 {
	return float64(p.Copies) / float64(max(1, len(p.Layout)*len(p.Layout[0])))
}

// level spreads the experts of all sets with at most a number of copies to each rank.
func level(current rank.Layout, d Demand, b Bounds, budget int) Plan {
	ranks := len(current[0])
	sets := make([]*set, len(current))
	for i := range current {
		sets[i] = newSet(current[i], d.Set(i), b.Places, b.Spare)
	}
	left := make([]int, ranks)
	for r := range left {
		left[r] = budget
	}
	stuck := make([]bool, len(sets))
	for {
		at := worst(sets, stuck)
		if at < 0 {
			break
		}
		if !sets[at].improve(left) {
			stuck[at] = true
		}
	}
	p := Plan{Layout: make(rank.Layout, len(sets))}
	heaviest, mean := 0.0, 0.0
	for i, s := range sets {
		for _, experts := range s.on {
			slices.Sort(experts)
		}
		p.Layout[i] = s.on
		heaviest += s.load[s.heaviest()]
		mean += s.mean
	}
	p.After = 1
	if mean > 0 {
		p.After = heaviest / mean
	}
	for _, l := range left {
		p.Copies += budget - l
		p.Longest = max(p.Longest, budget-l)
	}
	return p
}

// worst returns the set whose heaviest rank is furthest above its mean, and -1 if all are level or stuck.
func worst(sets []*set, stuck []bool) int {
	at, most := -1, 0.0
	for i, s := range sets {
		if stuck[i] {
			continue
		}
		if over := s.load[s.heaviest()] - (1+margin)*s.mean; over > most {
			at, most = i, over
		}
	}
	return at
}

// margin is how far above the mean a rank's load may stay, relative to it.
const margin = 0.01

// set is one set's placement while changes are tried on it.
type set struct {
	places, spare int
	on            [][]int
	demand        []float64
	// holders are the ranks that hold each expert.
	holders [][]int
	load    []float64
	fresh   []int
	old     [][]int
	mean    float64
	// excess is the sum of the squares of the loads above the mean.
	excess float64
}

func newSet(on [][]int, demand []float64, places, spare int) *set {
	s := &set{
		places: places, spare: spare, demand: demand, old: on, on: make([][]int, len(on)),
		holders: make([][]int, len(demand)), load: make([]float64, len(on)), fresh: make([]int, len(on)),
		mean: sum(demand) / float64(max(1, len(on))),
	}
	for r, experts := range on {
		s.on[r] = slices.Clone(experts)
		for _, e := range experts {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	for r, experts := range on {
		for _, e := range experts {
			s.load[r] += s.share(e)
		}
	}
	for _, l := range s.load {
		s.excess += s.over(l)
	}
	return s
}

func (s *set) share(e int) float64 { return s.demand[e] / float64(max(1, len(s.holders[e]))) }

func (s *set) heaviest() int {
	at := 0
	for r, l := range s.load {
		if l > s.load[at] {
			at = r
		}
	}
	return at
}

// change is one copy of an expert to a rank, with what gives way to it.
type change struct {
	expert, to int
	// evicted is the expert that the target drops, -1 for none.
	evicted int
	// from is the rank that drops the expert itself, -1 for none.
	from int
}

// targets is how many of the lightest ranks are tried for a copy.
const targets = 6

// improve makes the change that brings the loads above the mean down most, and reports whether there was one.
func (s *set) improve(left []int) bool {
	heavy := s.heaviest()
	light := s.lightest(left)
	var best change
	gain := 1e-9 * s.mean * s.mean
	found := false
	for _, e := range s.on[heavy] {
		for _, to := range light {
			if to == heavy || slices.Contains(s.on[to], e) || !s.canTake(to, e, left) {
				continue
			}
			for _, c := range s.options(e, heavy, to) {
				if g := s.gain(c); g > gain {
					best, gain, found = c, g, true
				}
			}
		}
	}
	if !found {
		return false
	}
	if !slices.Contains(s.old[best.to], best.expert) {
		left[best.to]--
		s.fresh[best.to]++
	}
	s.apply(best)
	return true
}

// canTake reports whether a rank may take an expert in: what it held in the layout in use costs nothing.
func (s *set) canTake(to, e int, left []int) bool {
	return slices.Contains(s.old[to], e) || left[to] > 0 && s.fresh[to] < s.spare
}

// lightest returns the ranks with the least load that may take something in.
func (s *set) lightest(left []int) []int {
	var list []int
	for r := range s.load {
		if s.load[r] < s.mean && (left[r] > 0 && s.fresh[r] < s.spare || len(s.old[r]) > 0) {
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
	return list[:min(len(list), targets)]
}

// options returns the ways to bring an expert of a heavy rank to another.
func (s *set) options(e, heavy, to int) []change {
	evictions := []int{-1}
	if len(s.on[to]) >= s.places {
		evictions = evictions[:0]
		for _, f := range s.on[to] {
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

// gain returns by how much a change brings down the excess.
func (s *set) gain(c change) float64 {
	before := s.excess
	s.apply(c)
	after := s.excess
	s.revert(c)
	return before - after
}

// over returns what a load adds to the excess: the square of what it is above the mean.
func (s *set) over(load float64) float64 {
	above := max(0, load-s.mean)
	return above * above
}

// add changes a rank's load.
func (s *set) add(r int, by float64) {
	s.excess -= s.over(s.load[r])
	s.load[r] += by
	s.excess += s.over(s.load[r])
}

func (s *set) apply(c change) {
	s.put(c.to, c.expert)
	if c.evicted >= 0 {
		s.drop(c.to, c.evicted)
	}
	if c.from >= 0 {
		s.drop(c.from, c.expert)
	}
}

func (s *set) revert(c change) {
	if c.from >= 0 {
		s.put(c.from, c.expert)
	}
	if c.evicted >= 0 {
		s.put(c.to, c.evicted)
	}
	s.drop(c.to, c.expert)
}

// put gives a rank a copy of an expert.
func (s *set) put(r, e int) {
	before := s.share(e)
	holders := s.holders[e]
	s.holders[e] = append(holders, r)
	after := s.share(e)
	for _, h := range holders {
		s.add(h, after-before)
	}
	s.add(r, after)
	s.on[r] = append(s.on[r], e)
}

// drop takes an expert from a rank.
func (s *set) drop(r, e int) {
	before := s.share(e)
	s.add(r, -before)
	at := slices.Index(s.on[r], e)
	s.on[r] = append(s.on[r][:at], s.on[r][at+1:]...)
	at = slices.Index(s.holders[e], r)
	s.holders[e] = append(s.holders[e][:at], s.holders[e][at+1:]...)
	after := s.share(e)
	for _, h := range s.holders[e] {
		s.add(h, after-before)
	}
}
