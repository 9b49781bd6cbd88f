package leveler

import "slices"

const (
	// loadMargin is the fraction above the mean up to which a rank's load counts as level.
	loadMargin = 0.01
	// fewTargets and manyTargets are how many of the least loaded ranks are considered for a copy: first few, which are
	// enough for most changes, then many.
	fewTargets, manyTargets = 4, 24
	// minRelativeGain is the smallest reduction of the excess that counts, as a fraction of the squared mean load; it
	// keeps rounding errors from looking like gains.
	minRelativeGain = 1e-9
)

// placement is how one set's experts are spread over the ranks while changes are tried.
type placement struct {
	places, spare int
	// experts lists the experts of each rank, and initial those of the layout in use.
	experts, initial [][]int
	demand           []float64
	// holders lists the ranks that hold each expert.
	holders [][]int
	load    []float64
	// added is how many experts each rank takes in that it does not hold in the layout in use.
	added    []int
	mean     float64
	heaviest int
	// delta is scratch space for the effect of a change on the ranks' loads, and touched lists the ranks it is set for.
	delta   []float64
	touched []int
}

func newPlacement(initial [][]int, demand []float64, places, spare int) *placement {
	s := &placement{
		places: places, spare: spare, demand: demand, initial: initial, experts: make([][]int, len(initial)),
		holders: make([][]int, len(demand)), load: make([]float64, len(initial)), added: make([]int, len(initial)),
		mean: sum(demand) / float64(max(1, len(initial))), delta: make([]float64, len(initial)),
	}
	for r, experts := range initial {
		s.experts[r] = slices.Clone(experts)
		for _, e := range experts {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	for r, experts := range initial {
		for _, e := range experts {
			s.load[r] += demand[e] / float64(len(s.holders[e]))
		}
	}
	s.findHeaviest()
	return s
}

func (s *placement) findHeaviest() {
	s.heaviest = 0
	for r, l := range s.load {
		if l > s.load[s.heaviest] {
			s.heaviest = r
		}
	}
}

// none stands for no rank, and for no expert.
const none = -1

// move takes an expert from a rank and gives it to another, none for no rank.
type move struct{ expert, from, to int }

// change is a copy of an expert to a rank and, in a second move, what that rank drops in return; its expert is none if the
// rank has a free place.
type change [2]move

// moves returns the moves of the change.
func (c *change) moves() []move {
	if c[1].expert == none {
		return c[:1]
	}
	return c[:]
}

// bestChange returns the change that reduces the excess most by copying an expert of the heaviest rank to one of the
// least loaded ranks, and false if none reduces it. remaining is how many copies each rank may still take.
func (s *placement) bestChange(remaining []int, targets int) (change, bool) {
	heavy := s.heaviest
	var best change
	gain, found := minRelativeGain*s.mean*s.mean, false
	try := func(c change) {
		if g := s.gain(c); g > gain {
			best, gain, found = c, g, true
		}
	}
	for _, to := range s.lightestRanks(targets) {
		for _, e := range s.experts[heavy] {
			if slices.Contains(s.experts[to], e) || !s.canTake(to, e, remaining) {
				continue
			}
			s.tryCopies(e, heavy, to, try)
			for _, f := range s.experts[to] {
				if !slices.Contains(s.experts[heavy], f) && s.canTake(heavy, f, remaining) {
					try(change{{e, heavy, to}, {f, to, heavy}})
				}
			}
		}
	}
	return best, found
}

// tryCopies tries the changes that copy an expert of the heaviest rank to another rank, with and without dropping it
// from the heaviest. A rank without a free place evicts an expert that another rank holds as well.
func (s *placement) tryCopies(e, heavy, to int, try func(change)) {
	if len(s.experts[to]) < s.places {
		try(change{{e, none, to}, {expert: none}})
		try(change{{e, heavy, to}, {expert: none}})
		return
	}
	for _, f := range s.experts[to] {
		if len(s.holders[f]) > 1 {
			try(change{{e, none, to}, {f, to, none}})
			try(change{{e, heavy, to}, {f, to, none}})
		}
	}
}

// canTake reports whether a rank may take an expert in. One that it holds in the layout in use costs no copy.
func (s *placement) canTake(to, e int, remaining []int) bool {
	return slices.Contains(s.initial[to], e) || remaining[to] > 0 && s.added[to] < s.spare
}

// lightestRanks returns up to n of the least loaded ranks below the mean, the least loaded first.
func (s *placement) lightestRanks(n int) []int {
	list := make([]int, 0, n+1)
	for r, l := range s.load {
		if l >= s.mean || len(list) == n && l >= s.load[list[n-1]] {
			continue
		}
		at := len(list)
		for at > 0 && s.load[list[at-1]] > l {
			at--
		}
		list = slices.Insert(list, at, r)
		list = list[:min(len(list), n)]
	}
	return list
}

// gain returns by how much a change reduces the excess: the sum over all ranks of squaredExcess.
func (s *placement) gain(c change) float64 {
	s.addDeltas(c)
	gain := 0.0
	for _, r := range s.touched {
		gain += s.squaredExcess(s.load[r]) - s.squaredExcess(s.load[r]+s.delta[r])
		s.delta[r] = 0
	}
	s.touched = s.touched[:0]
	return gain
}

// squaredExcess returns the square of the part of a load that is above the mean, 0 below it.
func (s *placement) squaredExcess(load float64) float64 {
	above := max(0, load-s.mean)
	return above * above
}

// addDelta adds to the effect of the change under consideration on a rank's load.
func (s *placement) addDelta(r int, by float64) {
	if s.delta[r] == 0 {
		s.touched = append(s.touched, r)
	}
	s.delta[r] += by
}

// addDeltas sets delta to the effect of a change on the ranks' loads.
func (s *placement) addDeltas(c change) {
	for _, m := range c.moves() {
		s.addMove(m)
	}
}

// addMove adds the effect of a move to delta.
func (s *placement) addMove(m move) {
	holders := s.holders[m.expert]
	before, after := len(holders), len(holders)
	if m.from != none {
		after--
	}
	if m.to != none {
		after++
	}
	share, changed := s.demand[m.expert]/float64(before), s.demand[m.expert]/float64(max(1, after))
	for _, h := range holders {
		if h == m.from {
			s.addDelta(h, -share)
		} else if before != after {
			s.addDelta(h, changed-share)
		}
	}
	if m.to != none {
		s.addDelta(m.to, changed)
	}
}

// apply carries out a change.
func (s *placement) apply(c change) {
	s.addDeltas(c)
	for _, r := range s.touched {
		s.load[r] += s.delta[r]
		s.delta[r] = 0
	}
	s.touched = s.touched[:0]
	for _, m := range c.moves() {
		if m.from != none {
			s.experts[m.from] = without(s.experts[m.from], m.expert)
			s.holders[m.expert] = without(s.holders[m.expert], m.from)
		}
		if m.to != none {
			s.experts[m.to] = append(s.experts[m.to], m.expert)
			s.holders[m.expert] = append(s.holders[m.expert], m.to)
		}
	}
	s.findHeaviest()
}

// without removes the first item that equals x from list, in place.
func without(list []int, x int) []int {
	at := slices.Index(list, x)
	return slices.Delete(list, at, at+1)
}
