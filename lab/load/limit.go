package load

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/limiter"
)

const (
	accountLimit = 50.0
	floodRate    = 200.0
	limitEntries = 9
	// oneWay is the latency between two entries.
	oneWay = 2 * time.Millisecond
	// homeTimeout is how long an entry waits for a home's answer before it asks the next home.
	homeTimeout   = 150 * time.Millisecond
	limitDuration = 100 * time.Second
	// limitMeasuredFrom is when measurement begins: by then entries that started together know what was lent before.
	limitMeasuredFrom = 40 * time.Second
	eventAt           = 70 * time.Second
)

var key = limiter.Key{Service: "pool", Account: "large"}

// division is how an account's limit is divided among entries.
type division string

const (
	divisionStatic     division = "static shares"
	divisionHeartbeats division = "shares by heartbeats"
	divisionLeased     division = "shares leased from a home"
)

// scenario is how the load is distributed over the entries and which event affects them.
type scenario struct {
	name string
	// weight is an entry's share of the load at a time, relative to the others'.
	weight func(entry int, at time.Duration) float64
	// trigger causes the event at eventAt.
	trigger func(sim *limitSimulation)
}

func evenWeight(int, time.Duration) float64 { return 1 }

func firstEntryOnly(entry int, _ time.Duration) float64 {
	if entry == 0 {
		return 1
	}
	return 0
}

// rotatingEntry sends all load to one entry, and to the next one every ten seconds.
func rotatingEntry(entry int, at time.Duration) float64 {
	return firstEntryOnly(entry-int(at/(10*time.Second))%limitEntries, at)
}

func noEvent(*limitSimulation) {}

func scenarios() []scenario {
	return []scenario{
		{"even demand", evenWeight, noEvent},
		{"all at one entry", firstEntryOnly, noEvent},
		{"another entry every 10 s", rotatingEntry, noEvent},
		{"an entry joins", evenWeight, func(sim *limitSimulation) { sim.join() }},
		{"an entry dies", evenWeight, func(sim *limitSimulation) { sim.stop(sim.home() + 1) }},
		{"the home dies", evenWeight, func(sim *limitSimulation) { sim.stop(sim.home()) }},
		{"the home cannot be reached", evenWeight, func(sim *limitSimulation) {
			home := sim.home()
			sim.isPartitioned = func(a, b int) bool { return a == home || b == home }
		}},
		{"entries are cut in two", evenWeight, func(sim *limitSimulation) { sim.isPartitioned = func(a, b int) bool { return a%2 != b%2 } }},
	}
}

// limitSimulation is a set of entries that enforce one account's limit.
type limitSimulation struct {
	clock         *clock
	random        *rand.Rand
	division      division
	entries       []*simulatedEntry
	isPartitioned func(a, b int) bool
	passed        []time.Duration
	refused       int
}

// simulatedEntry is the state of one entry; rates are in requests a second.
type simulatedEntry struct {
	state          limiter.State
	bucket         limiter.Bucket
	demand         float64
	count          int
	reportedDemand map[int]float64
	alive          bool
}

func newLimitSimulation(d division, n int) *limitSimulation {
	sim := &limitSimulation{clock: newClock(), random: rand.New(rand.NewPCG(seed, 2)), division: d,
		isPartitioned: func(int, int) bool { return false }}
	for range n {
		sim.add()
	}
	sim.updateEntryLists()
	for i := range sim.entries {
		sim.clock.after(time.Duration(sim.random.Float64()*float64(second)), func() { sim.clock.every(second, func() { sim.tick(i) }) })
	}
	return sim
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (sim *limitSimulation) add() {
	sim.entries = append(sim.entries, &simulatedEntry{
		state: limiter.New(entryName(len(sim.entries))), bucket: limiter.NewBucket(), reportedDemand: map[int]float64{}, alive: true,
	})
}

// updateEntryLists tells every entry which entries are alive.
func (sim *limitSimulation) updateEntryLists() {
	var names []string
	for i, e := range sim.entries {
		if e.alive {
			names = append(names, entryName(i))
		}
	}
	for i := range sim.entries {
		sim.step(i, limiter.EntriesUpdated{Names: names, At: sim.clock.now})
	}
}

// join adds an entry, which knows only itself until all entry lists are updated two seconds later.
func (sim *limitSimulation) join() {
	sim.add()
	i := len(sim.entries) - 1
	sim.clock.every(second, func() { sim.tick(i) })
	sim.clock.after(2*second, sim.updateEntryLists)
	sim.step(i, limiter.EntriesUpdated{Names: []string{entryName(i)}, At: sim.clock.now})
}

// stop ends an entry; its VM leaves the entry lists ten seconds later.
func (sim *limitSimulation) stop(i int) {
	sim.entries[i%len(sim.entries)].alive = false
	sim.clock.after(10*second, sim.updateEntryLists)
}

// home returns the entry that lends the account's shares: the one that serves its own demand without asking another.
func (sim *limitSimulation) home() int {
	for i, e := range sim.entries {
		wanted := limiter.ShareRequested{Demand: sim.demandOf(i), At: sim.clock.now.Add(time.Hour), Done: make(chan struct{})}
		_, effects := limiter.Step(e.state, wanted)
		if len(effects) == 0 {
			continue
		}
		if _, asks := effects[0].(limiter.RequestShares); !asks {
			return i
		}
	}
	return 0
}

func (sim *limitSimulation) demandOf(i int) limiter.Demand {
	return limiter.Demand{Key: key, Limit: accountLimit, Rate: math.Max(1, sim.entries[i].demand)}
}

func (sim *limitSimulation) isReachable(from, to int) bool {
	return sim.entries[to].alive && !sim.isPartitioned(from, to)
}

// tick updates an entry's demand, and sends it to the other entries as a heartbeat or renews the leased share.
// Demand rises at once with the count of the last second, and falls as a moving average.
func (sim *limitSimulation) tick(i int) {
	e := sim.entries[i]
	if !e.alive {
		return
	}
	e.demand += 0.3 * (float64(e.count) - e.demand)
	e.demand = math.Max(e.demand, float64(e.count))
	e.count = 0
	if sim.division == divisionHeartbeats {
		for j := range sim.entries {
			if sim.isReachable(i, j) {
				sim.clock.after(oneWay, func() { sim.entries[j].reportedDemand[i] = e.demand })
			}
		}
	}
	if sim.division == divisionLeased && e.demand > 0.01 {
		sim.step(i, limiter.Tick{At: sim.clock.now, Demands: []limiter.Demand{sim.demandOf(i)}})
	}
}

// step applies an event at an entry and carries out its effects.
func (sim *limitSimulation) step(i int, event limiter.Event) {
	e := sim.entries[i]
	next, effects := limiter.Step(e.state, event)
	e.state = next
	for _, effect := range effects {
		if ask, asks := effect.(limiter.RequestShares); asks {
			sim.ask(i, ask, 0)
		}
	}
}

// ask sends demands to the n-th home, and to the next one if that cannot be reached within homeTimeout.
func (sim *limitSimulation) ask(i int, ask limiter.RequestShares, n int) {
	if n == len(ask.Homes) {
		sim.step(i, limiter.HomesUnreachable{Demands: ask.Demands, At: sim.clock.now})
		return
	}
	var home int
	_, _ = fmt.Sscanf(ask.Homes[n], "entry-%d", &home)
	if home != i && !sim.isReachable(i, home) {
		sim.clock.after(homeTimeout, func() { sim.ask(i, ask, n+1) })
		return
	}
	sim.clock.after(oneWay, func() {
		asked := limiter.DemandsReceived{Entry: entryName(i), Demands: ask.Demands, At: sim.clock.now}
		next, effects := limiter.Step(sim.entries[home].state, asked)
		sim.entries[home].state = next
		shares := effects[0].(limiter.SendShares).Shares
		sim.clock.after(oneWay, func() { sim.step(i, limiter.SharesReceived{Shares: shares, At: sim.clock.now}) })
	})
}

// rate returns the rate that an entry may pass, and false while it has no share yet.
func (sim *limitSimulation) rate(i int) (float64, bool) {
	e := sim.entries[i]
	switch sim.division {
	case divisionStatic:
		return accountLimit / float64(len(sim.entries)), true
	case divisionHeartbeats:
		total := 0.0
		for j, demand := range e.reportedDemand {
			if j != i {
				total += demand
			}
		}
		own := math.Max(1, e.demand)
		return accountLimit * own / (own + total), true
	case divisionLeased:
	}
	return e.state.Rate(key, sim.clock.now)
}

// arrive handles a request at an entry; if the entry has no share, the request waits for one round trip.
func (sim *limitSimulation) arrive(i int) {
	rate, known := sim.rate(i)
	if !known {
		sim.step(i, limiter.ShareRequested{Demand: sim.demandOf(i), At: sim.clock.now, Done: make(chan struct{})})
		sim.clock.after(2*oneWay+time.Millisecond, func() {
			rate, _ := sim.rate(i)
			sim.take(i, rate)
		})
		return
	}
	sim.take(i, rate)
}

func (sim *limitSimulation) take(i int, rate float64) {
	e := sim.entries[i]
	e.count++
	var taken bool
	if e.bucket, _, taken = e.bucket.WithTokenTaken(rate, sim.clock.now); taken {
		sim.passed = append(sim.passed, sim.clock.elapsed())
	} else {
		sim.refused++
	}
}

// run sends floodRate requests a second to the entries that are alive, and triggers the scenario's event.
func (sim *limitSimulation) run(s scenario) {
	var next func()
	next = func() {
		sim.clock.after(time.Duration(sim.random.ExpFloat64()/floodRate*float64(second)), next)
		total := 0.0
		for i, e := range sim.entries {
			if e.alive {
				total += s.weight(i, sim.clock.elapsed())
			}
		}
		draw := sim.random.Float64() * total
		for i, e := range sim.entries {
			if e.alive {
				if draw -= s.weight(i, sim.clock.elapsed()); draw < 0 {
					sim.arrive(i)
					return
				}
			}
		}
	}
	next()
	sim.clock.after(eventAt, func() { s.trigger(sim) })
	sim.clock.runFor(limitDuration)
}

// limits shows how closely each division holds one account, which sends more than its limit, to that limit.
func limits(out io.Writer) error {
	table(out, fmt.Sprintf("Passed of a limit of %.0f a second over %d entries under a flood of %.0f, from %s on; "+
		"what happens, happens at %s; seed %d", accountLimit, limitEntries, floodRate, limitMeasuredFrom, eventAt, seed),
		"what happens", "way", "mean, of the limit", "worst second", "worst 10 s")
	for _, s := range scenarios() {
		for _, d := range []division{divisionStatic, divisionHeartbeats, divisionLeased} {
			sim := newLimitSimulation(d, limitEntries)
			sim.run(s)
			row(out, s.name, string(d), sim.meanRatio(limitDuration-limitMeasuredFrom), sim.worstRatio(second), sim.worstRatio(10*second))
		}
	}
	return nil
}

// meanRatio returns the mean rate that passed, as a ratio of the limit.
func (sim *limitSimulation) meanRatio(d time.Duration) string {
	n := 0
	for _, at := range sim.passed {
		if at >= limitMeasuredFrom {
			n++
		}
	}
	return fmt.Sprintf("%.2f", float64(n)/d.Seconds()/accountLimit)
}

// worstRatio returns the highest rate that passed in any span of the given length, as a ratio of the limit.
func (sim *limitSimulation) worstRatio(span time.Duration) string {
	most, from := 0, 0
	for to, at := range sim.passed {
		for sim.passed[from] <= at-span || sim.passed[from] < limitMeasuredFrom && from < to {
			from++
		}
		most = max(most, to-from+1)
	}
	return fmt.Sprintf("%.2f", float64(most)/span.Seconds()/accountLimit)
}
