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
	flood        = 200.0
	limitEntries = 9
	// oneWay is the latency between two entries.
	oneWay = 2 * time.Millisecond
	// homeTimeout is how long an entry waits for a home.
	homeTimeout = 150 * time.Millisecond
	limitTime   = 100 * time.Second
	// limitFrom is when entries that started together know what was lent before.
	limitFrom = 40 * time.Second
	eventAt   = 70 * time.Second
)

var key = limiter.Key{Service: "pool", Account: "large"}

// way is how an account's limit is divided.
type way string

const (
	wayStatic way = "static shares"
	wayBeats  way = "shares by heartbeats"
	wayLeased way = "shares leased from a home"
)

// scenario is how the flood comes and what happens to the entries.
type scenario struct {
	name string
	// weight is an entry's part of the flood at a time, relative to the others'.
	weight func(entry int, at time.Duration) float64
	// happens is what happens at eventAt.
	happens func(w *world)
}

func even(int, time.Duration) float64 { return 1 }

func first(entry int, _ time.Duration) float64 {
	if entry == 0 {
		return 1
	}
	return 0
}

// moving sends the flood to another entry every ten seconds.
func moving(entry int, at time.Duration) float64 {
	return first(entry-int(at/(10*time.Second))%limitEntries, at)
}

func nothing(*world) {}

func scenarios() []scenario {
	return []scenario{
		{"even demand", even, nothing},
		{"all at one entry", first, nothing},
		{"another entry every 10 s", moving, nothing},
		{"an entry joins", even, func(w *world) { w.join() }},
		{"an entry dies", even, func(w *world) { w.die(w.home() + 1) }},
		{"the home dies", even, func(w *world) { w.die(w.home()) }},
		{"the home cannot be reached", even, func(w *world) {
			home := w.home()
			w.split = func(a, b int) bool { return a == home || b == home }
		}},
		{"entries are cut in two", even, func(w *world) { w.split = func(a, b int) bool { return a%2 != b%2 } }},
	}
}

// world is entries that hold one account to its limit.
type world struct {
	clock   *clock
	random  *rand.Rand
	way     way
	entries []*member
	split   func(a, b int) bool
	passed  []time.Duration
	refused int
}

// member is one entry.
type member struct {
	state  limiter.State
	bucket limiter.Bucket
	demand float64
	count  int
	heard  map[int]float64
	alive  bool
}

func newWorld(w way, n int) *world {
	c := &world{clock: newClock(), random: rand.New(rand.NewPCG(seed, 2)), way: w, split: func(int, int) bool { return false }}
	for range n {
		c.add()
	}
	c.learn()
	for i := range c.entries {
		c.clock.after(time.Duration(c.random.Float64()*float64(second)), func() { c.clock.every(second, func() { c.tick(i) }) })
	}
	return c
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (w *world) add() {
	w.entries = append(w.entries, &member{
		state: limiter.New(entryName(len(w.entries))), bucket: limiter.NewBucket(), heard: map[int]float64{}, alive: true,
	})
}

// learn lets every entry know which ones there are.
func (w *world) learn() {
	var names []string
	for i, e := range w.entries {
		if e.alive {
			names = append(names, entryName(i))
		}
	}
	for i := range w.entries {
		w.step(i, limiter.EntriesUpdated{Names: names, At: w.clock.now})
	}
}

func (w *world) join() {
	w.add()
	i := len(w.entries) - 1
	w.clock.every(second, func() { w.tick(i) })
	w.clock.after(2*second, w.learn)
	w.step(i, limiter.EntriesUpdated{Names: []string{entryName(i)}, At: w.clock.now})
}

// die ends an entry; its VM leaves the list ten seconds later.
func (w *world) die(i int) {
	w.entries[i%len(w.entries)].alive = false
	w.clock.after(10*second, w.learn)
}

// home returns the entry that lends the account's shares.
func (w *world) home() int {
	for i, e := range w.entries {
		wanted := limiter.ShareRequested{Demand: w.demandOf(i), At: w.clock.now.Add(time.Hour), Done: make(chan struct{})}
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

func (w *world) demandOf(i int) limiter.Demand {
	return limiter.Demand{Key: key, Limit: accountLimit, Rate: math.Max(1, w.entries[i].demand)}
}

func (w *world) reaches(a, b int) bool { return w.entries[b].alive && !w.split(a, b) }

// tick measures an entry's demand and renews or spreads its share.
func (w *world) tick(i int) {
	e := w.entries[i]
	if !e.alive {
		return
	}
	e.demand += 0.3 * (float64(e.count) - e.demand)
	e.demand = math.Max(e.demand, float64(e.count))
	e.count = 0
	if w.way == wayBeats {
		for j := range w.entries {
			if w.reaches(i, j) {
				w.clock.after(oneWay, func() { w.entries[j].heard[i] = e.demand })
			}
		}
	}
	if w.way == wayLeased && e.demand > 0.01 {
		w.step(i, limiter.Tick{At: w.clock.now, Demands: []limiter.Demand{w.demandOf(i)}})
	}
}

// step applies an event at an entry and carries out its effects.
func (w *world) step(i int, event limiter.Event) {
	e := w.entries[i]
	next, effects := limiter.Step(e.state, event)
	e.state = next
	for _, effect := range effects {
		if ask, asks := effect.(limiter.RequestShares); asks {
			w.ask(i, ask, 0)
		}
	}
}

// ask carries demands to the homes in turn.
func (w *world) ask(i int, ask limiter.RequestShares, n int) {
	if n == len(ask.Homes) {
		w.step(i, limiter.HomesUnreachable{Demands: ask.Demands, At: w.clock.now})
		return
	}
	var home int
	_, _ = fmt.Sscanf(ask.Homes[n], "entry-%d", &home)
	if home != i && !w.reaches(i, home) {
		w.clock.after(homeTimeout, func() { w.ask(i, ask, n+1) })
		return
	}
	w.clock.after(oneWay, func() {
		asked := limiter.DemandsReceived{Entry: entryName(i), Demands: ask.Demands, At: w.clock.now}
		next, effects := limiter.Step(w.entries[home].state, asked)
		w.entries[home].state = next
		shares := effects[0].(limiter.SendShares).Shares
		w.clock.after(oneWay, func() { w.step(i, limiter.SharesReceived{Shares: shares, At: w.clock.now}) })
	})
}

// rate returns what an entry may pass, and false if it must wait to know.
func (w *world) rate(i int) (float64, bool) {
	e := w.entries[i]
	switch w.way {
	case wayStatic:
		return accountLimit / float64(len(w.entries)), true
	case wayBeats:
		total := 0.0
		for j, demand := range e.heard {
			if j != i {
				total += demand
			}
		}
		own := math.Max(1, e.demand)
		return accountLimit * own / (own + total), true
	case wayLeased:
	}
	return e.state.Rate(key, w.clock.now)
}

// arrive is one request at an entry; without a share it waits for one.
func (w *world) arrive(i int) {
	rate, known := w.rate(i)
	if !known {
		w.step(i, limiter.ShareRequested{Demand: w.demandOf(i), At: w.clock.now, Done: make(chan struct{})})
		w.clock.after(2*oneWay+time.Millisecond, func() {
			rate, _ := w.rate(i)
			w.take(i, rate)
		})
		return
	}
	w.take(i, rate)
}

func (w *world) take(i int, rate float64) {
	e := w.entries[i]
	e.count++
	var taken bool
	if e.bucket, _, taken = e.bucket.WithTokenTaken(rate, w.clock.now); taken {
		w.passed = append(w.passed, w.clock.elapsed())
	} else {
		w.refused++
	}
}

// run floods the entries.
func (w *world) run(s scenario) {
	var next func()
	next = func() {
		w.clock.after(time.Duration(w.random.ExpFloat64()/flood*float64(second)), next)
		total := 0.0
		for i, e := range w.entries {
			if e.alive {
				total += s.weight(i, w.clock.elapsed())
			}
		}
		draw := w.random.Float64() * total
		for i, e := range w.entries {
			if e.alive {
				if draw -= s.weight(i, w.clock.elapsed()); draw < 0 {
					w.arrive(i)
					return
				}
			}
		}
	}
	next()
	w.clock.after(eventAt, func() { s.happens(w) })
	w.clock.runFor(limitTime)
}

// limits shows how closely each way keeps one account that floods to its limit.
func limits(out io.Writer) error {
	table(out, fmt.Sprintf("Passed of a limit of %.0f a second over %d entries under a flood of %.0f, from %s on; "+
		"what happens, happens at %s; seed %d", accountLimit, limitEntries, flood, limitFrom, eventAt, seed),
		"what happens", "way", "mean, of the limit", "worst second", "worst 10 s")
	for _, s := range scenarios() {
		for _, by := range []way{wayStatic, wayBeats, wayLeased} {
			w := newWorld(by, limitEntries)
			w.run(s)
			row(out, s.name, string(by), w.over(limitTime-limitFrom), w.worst(second), w.worst(10*second))
		}
	}
	return nil
}

func (w *world) over(d time.Duration) string {
	n := 0
	for _, at := range w.passed {
		if at >= limitFrom {
			n++
		}
	}
	return fmt.Sprintf("%.2f", float64(n)/d.Seconds()/accountLimit)
}

// worst returns the largest part of the limit that passed in any span of the given length.
func (w *world) worst(span time.Duration) string {
	most, from := 0, 0
	for to, at := range w.passed {
		for w.passed[from] <= at-span || w.passed[from] < limitFrom && from < to {
			from++
		}
		most = max(most, to-from+1)
	}
	return fmt.Sprintf("%.2f", float64(most)/span.Seconds()/accountLimit)
}
