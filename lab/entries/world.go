package entries

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/kingcupstile/kingcupstile/coordination/lister"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// All times are in seconds.
const (
	step           = 5
	duration       = 900
	warmUp         = 120
	answerLifetime = 60
	reportInterval = 10
	// requestDuration is how long a request is in flight, which smooths the load of an entry.
	requestDuration = 18.0
	lossTime        = 600
	// listDelay is how long the VM list still shows an entry after it was lost.
	listDelay = 10
)

// Load is the size, seed and distribution of a simulated load. The large account's share is 0 if there is none.
type Load struct {
	seed         uint64
	entries      int
	centres      int
	callers      int
	largeCallers int
	largeShare   float64
}

// Result is how evenly entries were loaded. Loads are ratios of the mean load of an entry.
type Result struct {
	busiest        []float64
	leastBusy      float64
	worstAfterLoss float64
	refusedRatio   float64
}

// Busiest returns a percentile, over time, of the busiest entry's load as a ratio of the mean while all entries live.
func (r Result) Busiest(percentile int) float64 { return r.busiest[percentile*(len(r.busiest)-1)/100] }

// WorstAfterLoss returns the highest ratio of an entry's load to the mean in the minute after an entry is lost.
func (r Result) WorstAfterLoss() float64 { return r.worstAfterLoss }

type caller struct {
	name   string
	centre string
	rate   float64
	// nextLookup is the time at which the caller's answer expires.
	nextLookup int
	answer     []roster.VM
	current    string
}

type simulation struct {
	load      Load
	strategy  Strategy
	state     answerState
	callers   []caller
	lostEntry string
	// usage is each entry's load, a moving average of its request rate over requestDuration.
	usage       map[string]float64
	sent        float64
	failedTries float64
}

// Run simulates the load with a strategy. It is deterministic: equal arguments give equal results.
func Run(l Load, strategy Strategy) Result {
	s := newSimulation(l, strategy)
	var r Result
	var least []float64
	for now := 0; now < duration; now += step {
		if now == lossTime {
			s.lostEntry = s.state.entries[0].Name()
			delete(s.usage, s.lostEntry)
		}
		if now == lossTime+listDelay {
			s.setEntries(s.state.entries[1:])
		}
		s.advance(now)
		highest, lowest := s.loadRatios()
		switch {
		case now >= warmUp && now < lossTime:
			r.busiest, least = append(r.busiest, highest), append(least, lowest)
		case now >= lossTime && now < lossTime+answerLifetime:
			r.worstAfterLoss = max(r.worstAfterLoss, highest)
		}
	}
	slices.Sort(r.busiest)
	slices.Sort(least)
	r.leastBusy, r.refusedRatio = least[len(least)/2], s.failedTries/s.sent
	return r
}

func newSimulation(l Load, strategy Strategy) *simulation {
	s := &simulation{load: l, strategy: strategy, usage: map[string]float64{}}
	s.state = answerState{random: rand.New(rand.NewPCG(l.seed, 1)), reported: map[string]float64{}, rotation: map[string]int{}}
	entries := make([]roster.VM, l.entries)
	for i := range entries {
		entries[i] = roster.NewVM(fmt.Sprintf("entry-%d", i), roster.RoleEntry, roster.Centre(s.centreName(i)))
	}
	s.setEntries(entries)
	for i := range l.callers {
		c := caller{name: fmt.Sprint(i), centre: s.centreName(i), rate: s.drawRate(i), nextLookup: s.state.random.IntN(answerLifetime)}
		s.callers = append(s.callers, c)
	}
	return s
}

func (s *simulation) centreName(i int) string { return fmt.Sprint("centre-", i%s.load.centres) }

// drawRate returns a caller's request rate. Rates are exponentially distributed, except that the large account's
// callers all send at the same rate.
func (s *simulation) drawRate(i int) float64 {
	if s.load.largeShare > 0 && i < s.load.largeCallers {
		return s.load.largeShare * float64(s.load.callers) / float64(s.load.largeCallers)
	}
	return (1 - s.load.largeShare) * s.state.random.ExpFloat64()
}

// setEntries replaces the VM list that all entries answer from.
func (s *simulation) setEntries(entries []roster.VM) {
	s.state.entries, s.state.lister = entries, lister.New(roster.New(1, entries...))
	s.state.near = map[string][]roster.VM{}
	for _, vm := range entries {
		s.state.near[vm.Centre()] = append(s.state.near[vm.Centre()], vm)
	}
}

// advance simulates one step: entries report their load every reportInterval, callers whose answer has expired ask
// again, and all callers send.
func (s *simulation) advance(now int) {
	if now%reportInterval == 0 {
		for name, usage := range s.usage {
			s.state.reported[name] = usage
		}
	}
	for name := range s.usage {
		s.usage[name] *= 1 - step/requestDuration
	}
	for i := range s.callers {
		c := &s.callers[i]
		if now >= c.nextLookup {
			c.answer = s.strategy.answer(s.state, c.name, c.current, c.centre)
			c.nextLookup += answerLifetime
		}
		if len(c.answer) > 0 {
			s.send(c)
		}
	}
}

// send sends a step's requests to the first address that is alive or, if the strategy uses all near addresses, spreads
// them over that one and the others that are alive and near.
func (s *simulation) send(c *caller) {
	var alive []string
	for i, vm := range c.answer {
		switch {
		case vm.Name() == s.lostEntry:
			// Counted once a step, and only if the lost entry is the first of the answer.
			if i == 0 {
				s.failedTries++
			}
		case len(alive) == 0 || s.strategy.useAllNear && vm.Centre() == c.centre:
			alive = append(alive, vm.Name())
		}
	}
	s.sent += c.rate * step
	for _, name := range alive {
		s.usage[name] += c.rate * step / requestDuration / float64(len(alive))
	}
	if len(alive) > 0 {
		c.current = alive[0]
	}
}

// loadRatios returns the loads of the busiest and the least busy entry as ratios of the mean of those that are alive.
func (s *simulation) loadRatios() (highest, lowest float64) {
	sum, live, first := 0.0, 0.0, true
	for _, vm := range s.state.entries {
		if vm.Name() == s.lostEntry {
			continue
		}
		usage := s.usage[vm.Name()]
		sum, live, highest = sum+usage, live+1, max(highest, usage)
		if first || usage < lowest {
			lowest, first = usage, false
		}
	}
	return highest * live / sum, lowest * live / sum
}
