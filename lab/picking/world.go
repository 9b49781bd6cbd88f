package picking

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/counter"
	"github.com/kingcupstile/kingcupstile/standin/batcher"
	"github.com/kingcupstile/kingcupstile/state/pool"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

const (
	sampleEvery = 100 * time.Millisecond
	warmUp      = 30 * time.Second
)

// Load is a seeded load on a pool of runners, and what is wrong with their reports.
type Load struct {
	seed     uint64
	runners  int
	entries  int
	subset   func(entry int) []int
	rate     float64
	prefixes int
	skew     float64
	shared   int
	lag      time.Duration
	every    time.Duration
	lost     float64
	liars    int
	slow     int
	urgent   float64
	large    float64
	length   time.Duration
}

// view is what one entry has to pick by.
type view struct {
	inFlight *counter.Counter
	draw     func(n int) int
	cached   func(endpoint string, prefix uint64) bool
}

// Way is a named way to pick.
type Way struct {
	name string
	make func(v view) kingcupstile.Picker
}

// Result is what a way gave.
type Result struct {
	first, urgent, between *hdrhistogram.Histogram
	hits, misses           int
	spread                 float64
	unfinished             int
}

// WithLag returns the load with reports that arrive later.
func (l Load) WithLag(d time.Duration) Load {
	l.lag = d
	return l
}

// WithLiars returns the load with runners that always report no load.
func (l Load) WithLiars(n int) Load {
	l.liars = n
	return l
}

// WithLength returns the load with another length.
func (l Load) WithLength(d time.Duration) Load {
	l.length = d
	return l
}

// First returns the time to the first token in a percentile of requests.
func (r Result) First(percentile float64) time.Duration { return at(r.first, percentile) }

// Between returns the time between two tokens in a percentile of tokens.
func (r Result) Between(percentile float64) time.Duration { return at(r.between, percentile) }

func at(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// entry is one entry with its own picture of the runners.
type entry struct {
	picker   kingcupstile.Picker
	inFlight *counter.Counter
	pool     pool.Pool
	cached   map[string]map[uint64]bool
}

// request is one request under way.
type request struct {
	arrived time.Duration
	last    time.Duration
	runner  int
	urgent  bool
	release func()
}

// world runs the load in simulated time.
type world struct {
	Load
	random   *rand.Rand
	zipf     []float64
	now      time.Duration
	due      events
	runners  []*batcher.Batcher
	names    []string
	index    map[string]int
	stepping []bool
	entries  []*entry
	open     map[uint64]*request
	next     uint64
	samples  int
	result   Result
}

// Run gives a load to a way.
func Run(l Load, w Way) Result {
	x := &world{
		Load:     l,
		random:   rand.New(rand.NewPCG(l.seed, 1)),
		zipf:     zipf(l.prefixes, l.skew),
		runners:  make([]*batcher.Batcher, l.runners),
		names:    make([]string, l.runners),
		index:    map[string]int{},
		stepping: make([]bool, l.runners),
		open:     map[uint64]*request{},
		result:   Result{first: histogram(), urgent: histogram(), between: histogram()},
	}
	for i := range x.runners {
		x.names[i] = fmt.Sprintf("runner-%d", i)
		x.index[x.names[i]] = i
		options := []batcher.Option{}
		if i < l.slow {
			options = append(options, batcher.Steps(batcher.Speed{
				Base: 40 * time.Millisecond, Decode: 2 * time.Millisecond, Prefill: 80 * time.Microsecond,
			}))
		}
		x.runners[i] = batcher.New(options...)
	}
	for i := range l.entries {
		x.entries = append(x.entries, x.entry(i, w))
	}
	x.arriveLater()
	x.after(0, x.report)
	x.after(warmUp, x.sample)
	for len(x.due) > 0 && x.now < l.length {
		e := heap.Pop(&x.due).(event)
		x.now = e.at
		e.do()
	}
	for _, r := range x.runners {
		hits, misses := r.Hits()
		x.result.hits += hits
		x.result.misses += misses
	}
	x.result.spread /= float64(max(1, x.samples))
	x.result.unfinished = len(x.open)
	return x.result
}

func (x *world) entry(i int, w Way) *entry {
	random := rand.New(rand.NewPCG(x.seed, uint64(i)+100))
	e := &entry{inFlight: counter.New(), cached: map[string]map[uint64]bool{}}
	seen := indices(x.Load.runners)
	if x.subset != nil {
		seen = x.subset(i)
	}
	members := make([]roster.Endpoint, 0, len(seen))
	for _, runner := range seen {
		vm := roster.NewVM(x.names[runner], roster.RoleEndpoint)
		members = append(members, roster.NewEndpoint(vm).WithState(roster.StateReady))
	}
	e.pool = pool.New(members...)
	e.picker = w.make(view{
		inFlight: e.inFlight,
		draw:     random.IntN,
		cached:   func(endpoint string, prefix uint64) bool { return e.cached[endpoint][prefix] },
	})
	return e
}

func (x *world) arriveLater() {
	gap := time.Duration(x.random.ExpFloat64() / x.rate * float64(time.Second))
	x.after(gap, x.arrive)
}

// arrive sends the next request through an entry drawn at random.
func (x *world) arrive() {
	x.arriveLater()
	prefix := mix(uint64(x.draw()) + 1)
	output := int(min(2000, 160*math.Exp(0.9*x.random.NormFloat64()))) + 1
	own := 100 + x.random.IntN(200)
	urgent := x.random.Float64() < x.urgent
	e := x.entries[x.random.IntN(len(x.entries))]
	if x.random.Float64() < x.large {
		e = x.entries[0]
	}
	picked, ok := e.picker.Pick(e.pool, prefix, nil)
	if !ok {
		return
	}
	x.next++
	i := x.index[picked.Name()]
	x.open[x.next] = &request{arrived: x.now, runner: i, urgent: urgent, release: e.inFlight.Open(picked.Name())}
	r := batcher.Request{ID: x.next, Prefix: prefix, Shared: x.shared, Own: own, Output: output}
	if urgent {
		r.Priority = 1
	}
	x.runners[i].Offer(r, x.now)
	x.stepLater(i)
}

func (x *world) stepLater(i int) {
	ends, busy := x.runners[i].Ends()
	if !busy || x.stepping[i] {
		return
	}
	x.stepping[i] = true
	x.after(ends-x.now, func() { x.step(i) })
}

func (x *world) step(i int) {
	x.stepping[i] = false
	for _, token := range x.runners[i].Step() {
		x.token(token)
	}
	x.stepLater(i)
}

func (x *world) token(token batcher.Token) {
	r := x.open[token.Request]
	if r.arrived >= warmUp {
		switch {
		case token.Index > 1:
			_ = x.result.between.RecordValue((x.now - r.last).Microseconds())
		case r.urgent:
			_ = x.result.urgent.RecordValue((x.now - r.arrived).Microseconds())
			fallthrough
		default:
			_ = x.result.first.RecordValue((x.now - r.arrived).Microseconds())
		}
	}
	r.last = x.now
	if token.Last {
		r.release()
		delete(x.open, token.Request)
	}
}

// report sends each runner's load and cache to the entries, which learn of it after the lag unless it is lost.
func (x *world) report() {
	x.after(x.every, x.report)
	for i, r := range x.runners {
		running := r.Load()
		if i < x.liars {
			running = 0
		}
		prefixes := map[uint64]bool{}
		for _, prefix := range r.Cached() {
			prefixes[prefix] = true
		}
		for _, e := range x.entries {
			if x.random.Float64() >= x.lost {
				x.after(x.lag, func() { x.learn(e, x.names[i], running, prefixes) })
			}
		}
	}
}

func (x *world) learn(e *entry, name string, running int, prefixes map[uint64]bool) {
	i, known := e.pool.Find(name)
	if !known {
		return
	}
	own, _ := e.inFlight.Count(name)
	r := roster.NewReport("first", time.Time{}, roster.Running(running, own))
	e.pool = e.pool.WithAt(i, e.pool.At(i).WithReport(r))
	e.cached[name] = prefixes
}

// sample notes how far the most loaded runner is above the mean.
func (x *world) sample() {
	x.after(sampleEvery, x.sample)
	most, all := 0, 0
	for _, r := range x.runners {
		most, all = max(most, r.Load()), all+r.Load()
	}
	if all > 0 {
		x.result.spread += float64(most) * float64(len(x.runners)) / float64(all)
		x.samples++
	}
}

func (x *world) after(d time.Duration, do func()) {
	x.next++
	heap.Push(&x.due, event{at: x.now + d, order: x.next, do: do})
}

// draw returns a prefix, those of low numbers more often.
func (x *world) draw() int {
	i, _ := slices.BinarySearch(x.zipf, x.random.Float64())
	return min(i, len(x.zipf)-1)
}

func zipf(n int, skew float64) []float64 {
	sums, total := make([]float64, n), 0.0
	for i := range sums {
		total += math.Pow(float64(i+1), -skew)
		sums[i] = total
	}
	for i := range sums {
		sums[i] /= total
	}
	return sums
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// mix spreads a small number over all 64 bits.
func mix(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}
