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
	view      answerState
	callers   []caller
	lostEntry string
	// usage is each entry's load, a moving average of its request rate over requestDuration.
	usage       map[string]float64
	sent        float64
	failedTries float64
}

// Run simulates the load with a strategy. It is deterministic: equal arguments give equal results.
func Run(l Load, strategy Strategy) Result {
	w := newSimulation(l, strategy)
	var r Result
	var least []float64
	for now := 0; now < duration; now += step {
		if now == lossTime {
			w.lostEntry = w.view.entries[0].Name()
			delete(w.usage, w.lostEntry)
		}
		if now == lossTime+listDelay {
			w.setEntries(w.view.entries[1:])
		}
		w.advance(now)
		most, fewest := w.loadRatios()
		switch {
		case now >= warmUp && now < lossTime:
			r.busiest, least = append(r.busiest, most), append(least, fewest)
		case now >= lossTime && now < lossTime+answerLifetime:
			r.worstAfterLoss = max(r.worstAfterLoss, most)
		}
	}
	slices.Sort(r.busiest)
	slices.Sort(least)
	r.leastBusy, r.refusedRatio = least[len(least)/2], w.failedTries/w.sent
	return r
}

func newSimulation(l Load, strategy Strategy) *simulation {
	w := &simulation{load: l, strategy: strategy, usage: map[string]float64{}}
	w.view = answerState{random: rand.New(rand.NewPCG(l.seed, 1)), reported: map[string]float64{}, rotation: map[string]int{}}
	entries := make([]roster.VM, l.entries)
	for i := range entries {
		entries[i] = roster.NewVM(fmt.Sprintf("entry-%d", i), roster.RoleEntry, roster.Centre(w.centreName(i)))
	}
	w.setEntries(entries)
	for i := range l.callers {
		c := caller{name: fmt.Sprint(i), centre: w.centreName(i), rate: w.drawRate(i), nextLookup: w.view.random.IntN(answerLifetime)}
		w.callers = append(w.callers, c)
	}
	return w
}

func (w *simulation) centreName(i int) string { return fmt.Sprint("centre-", i%w.load.centres) }

// drawRate returns a caller's request rate. Rates are exponentially distributed, except that the large account's
// callers all send at the same rate.
func (w *simulation) drawRate(i int) float64 {
	if w.load.largeShare > 0 && i < w.load.largeCallers {
		return w.load.largeShare * float64(w.load.callers) / float64(w.load.largeCallers)
	}
	return (1 - w.load.largeShare) * w.view.random.ExpFloat64()
}

// setEntries replaces the VM list that all entries answer from.
func (w *simulation) setEntries(entries []roster.VM) {
	w.view.entries, w.view.lister = entries, lister.New(roster.New(1, entries...))
	w.view.near = map[string][]roster.VM{}
	for _, vm := range entries {
		w.view.near[vm.Centre()] = append(w.view.near[vm.Centre()], vm)
	}
}

// advance simulates one step: entries report their load every reportInterval, callers whose answer has expired ask
// again, and all callers send.
func (w *simulation) advance(now int) {
	if now%reportInterval == 0 {
		for name, usage := range w.usage {
			w.view.reported[name] = usage
		}
	}
	for name := range w.usage {
		w.usage[name] *= 1 - step/requestDuration
	}
	for i := range w.callers {
		c := &w.callers[i]
		if now >= c.nextLookup {
			c.answer = w.strategy.answer(w.view, c.name, c.current, c.centre)
			c.nextLookup += answerLifetime
		}
		if len(c.answer) > 0 {
			w.send(c)
		}
	}
}

// send sends a step's requests to the first address that is alive or, if the strategy uses all near addresses, spreads
// them over that one and the others that are alive and near.
func (w *simulation) send(c *caller) {
	var alive []string
	for i, vm := range c.answer {
		switch {
		case vm.Name() == w.lostEntry:
			// Counted once a step, and only if the lost entry is the first of the answer.
			if i == 0 {
				w.failedTries++
			}
		case len(alive) == 0 || w.strategy.useAllNear && vm.Centre() == c.centre:
			alive = append(alive, vm.Name())
		}
	}
	w.sent += c.rate * step
	for _, name := range alive {
		w.usage[name] += c.rate * step / requestDuration / float64(len(alive))
	}
	if len(alive) > 0 {
		c.current = alive[0]
	}
}

// loadRatios returns the loads of the busiest and the least busy entry as ratios of the mean of those that are alive.
func (w *simulation) loadRatios() (most, fewest float64) {
	sum, live, first := 0.0, 0.0, true
	for _, vm := range w.view.entries {
		if vm.Name() == w.lostEntry {
			continue
		}
		usage := w.usage[vm.Name()]
		sum, live, most = sum+usage, live+1, max(most, usage)
		if first || usage < fewest {
			fewest, first = usage, false
		}
	}
	return most * live / sum, fewest * live / sum
}
