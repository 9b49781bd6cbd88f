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
	sampleInterval = 100 * time.Millisecond
	warmUpTime     = 30 * time.Second
)

// Load is a seeded load on a pool of runners, with the faults of the runners and of their reports.
type Load struct {
	seed    uint64
	runners int
	entries int
	// subset returns the indices of the runners that an entry uses; nil stands for all.
	subset func(entry int) []int
	// rate is in requests a second, over all entries.
	rate float64
	// Prefixes follow a Zipf distribution with exponent skew; each is sharedTokens long.
	prefixes     int
	skew         float64
	sharedTokens int
	// A report is sent every reportInterval and arrives after reportLag, or is lost with probability reportLoss.
	reportLag      time.Duration
	reportInterval time.Duration
	reportLoss     float64
	// zeroReporters is the number of runners that always report no load.
	zeroReporters int
	// slowRunners is the number of runners with slower steps.
	slowRunners int
	// urgentShare is the share of requests with priority 1.
	urgentShare float64
	// largeEntryShare is the share of requests sent to the first entry; the others go to an entry at random.
	largeEntryShare float64
	// duration is the simulated time of the run, the warm-up included.
	duration time.Duration
}

// inputs is the information by which one entry picks.
type inputs struct {
	inFlight *counter.Counter
	draw     func(n int) int
	cached   func(endpoint string, prefix uint64) bool
}

// Strategy is a named picking strategy.
type Strategy struct {
	name  string
	build func(in inputs) kingcupstile.Picker
}

// Result is the outcome of a load under one strategy.
type Result struct {
	first, urgent, between *hdrhistogram.Histogram
	hits, misses           int
	peakToMean             float64
	unfinished             int
}

// WithLag returns the load with reports that arrive d after they are sent.
func (l Load) WithLag(d time.Duration) Load {
	l.reportLag = d
	return l
}

// WithZeroReporters returns the load with n runners that always report no load.
func (l Load) WithZeroReporters(n int) Load {
	l.zeroReporters = n
	return l
}

// WithDuration returns the load with the simulated time that it lasts.
func (l Load) WithDuration(d time.Duration) Load {
	l.duration = d
	return l
}

// First returns a percentile (0 to 100) of the time to the first token.
func (r Result) First(percentile float64) time.Duration { return quantile(r.first, percentile) }

// Between returns a percentile (0 to 100) of the time between two tokens of a request.
func (r Result) Between(percentile float64) time.Duration { return quantile(r.between, percentile) }

func quantile(h *hdrhistogram.Histogram, percentile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// entry is one entry with its own view of the runners, as stale as their reports.
type entry struct {
	picker   kingcupstile.Picker
	inFlight *counter.Counter
	pool     pool.Pool
	cached   map[string]map[uint64]bool
}

// request is one request in flight.
type request struct {
	arrivedAt   time.Duration
	lastTokenAt time.Duration
	runner      int
	urgent      bool
	release     func()
}

// simulation runs the load in simulated time.
type simulation struct {
	Load
	random    *rand.Rand
	prefixCDF []float64
	now       time.Duration
	queue     eventQueue
	runners   []*batcher.Batcher
	names     []string
	index     map[string]int
	stepping  []bool
	entries   []*entry
	inFlight  map[uint64]*request
	lastID    uint64
	samples   int
	result    Result
}

// Run simulates a load under a strategy. Requests that arrive during the warm-up are left out of the latencies.
func Run(l Load, strategy Strategy) Result {
	s := &simulation{
		Load:      l,
		random:    rand.New(rand.NewPCG(l.seed, 1)),
		prefixCDF: zipfCDF(l.prefixes, l.skew),
		runners:   make([]*batcher.Batcher, l.runners),
		names:     make([]string, l.runners),
		index:     map[string]int{},
		stepping:  make([]bool, l.runners),
		inFlight:  map[uint64]*request{},
		result:    Result{first: histogram(), urgent: histogram(), between: histogram()},
	}
	for i := range s.runners {
		s.names[i] = fmt.Sprintf("runner-%d", i)
		s.index[s.names[i]] = i
		options := []batcher.Option{}
		if i < l.slowRunners {
			options = append(options, batcher.Cost(batcher.StepCost{
				Base: 40 * time.Millisecond, Decode: 2 * time.Millisecond, Prefill: 80 * time.Microsecond,
			}))
		}
		s.runners[i] = batcher.New(options...)
	}
	for i := range l.entries {
		s.entries = append(s.entries, s.newEntry(i, strategy))
	}
	s.scheduleArrival()
	s.schedule(0, s.sendReports)
	s.schedule(warmUpTime, s.samplePeak)
	for len(s.queue) > 0 && s.now < l.duration {
		e := heap.Pop(&s.queue).(timedEvent)
		s.now = e.at
		e.action()
	}
	for _, r := range s.runners {
		hits, misses := r.Hits()
		s.result.hits += hits
		s.result.misses += misses
	}
	s.result.peakToMean /= float64(max(1, s.samples))
	s.result.unfinished = len(s.inFlight)
	return s.result
}

func (s *simulation) newEntry(i int, strategy Strategy) *entry {
	random := rand.New(rand.NewPCG(s.seed, uint64(i)+100))
	e := &entry{inFlight: counter.New(), cached: map[string]map[uint64]bool{}}
	subset := indices(s.Load.runners)
	if s.subset != nil {
		subset = s.subset(i)
	}
	members := make([]roster.Endpoint, 0, len(subset))
	for _, runner := range subset {
		vm := roster.NewVM(s.names[runner], roster.RoleEndpoint)
		members = append(members, roster.NewEndpoint(vm).WithState(roster.StateReady))
	}
	e.pool = pool.New(members...)
	e.picker = strategy.build(inputs{
		inFlight: e.inFlight,
		draw:     random.IntN,
		cached:   func(endpoint string, prefix uint64) bool { return e.cached[endpoint][prefix] },
	})
	return e
}

func (s *simulation) scheduleArrival() {
	gap := time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second))
	s.schedule(gap, s.arrive)
}

// arrive sends the next request through an entry drawn at random.
func (s *simulation) arrive() {
	s.scheduleArrival()
	prefix := mix(uint64(s.drawPrefix()) + 1)
	output := int(min(2000, 160*math.Exp(0.9*s.random.NormFloat64()))) + 1
	ownTokens := 100 + s.random.IntN(200)
	urgent := s.random.Float64() < s.urgentShare
	e := s.entries[s.random.IntN(len(s.entries))]
	if s.random.Float64() < s.largeEntryShare {
		e = s.entries[0]
	}
	picked, ok := e.picker.Pick(e.pool, prefix, nil)
	if !ok {
		return
	}
	s.lastID++
	i := s.index[picked.Name()]
	s.inFlight[s.lastID] = &request{arrivedAt: s.now, runner: i, urgent: urgent, release: e.inFlight.Open(picked.Name())}
	r := batcher.Request{ID: s.lastID, Prefix: prefix, PrefixTokens: s.sharedTokens, SuffixTokens: ownTokens, OutputTokens: output}
	if urgent {
		r.Priority = 1
	}
	s.runners[i].Enqueue(r, s.now)
	s.scheduleStep(i)
}

func (s *simulation) scheduleStep(i int) {
	ends, busy := s.runners[i].StepEnd()
	if !busy || s.stepping[i] {
		return
	}
	s.stepping[i] = true
	s.schedule(ends-s.now, func() { s.step(i) })
}

func (s *simulation) step(i int) {
	s.stepping[i] = false
	for _, token := range s.runners[i].Step() {
		s.recordToken(token)
	}
	s.scheduleStep(i)
}

func (s *simulation) recordToken(token batcher.Token) {
	r := s.inFlight[token.Request]
	if r.arrivedAt >= warmUpTime {
		switch {
		case token.Index > 1:
			_ = s.result.between.RecordValue((s.now - r.lastTokenAt).Microseconds())
		case r.urgent:
			_ = s.result.urgent.RecordValue((s.now - r.arrivedAt).Microseconds())
			fallthrough
		default:
			_ = s.result.first.RecordValue((s.now - r.arrivedAt).Microseconds())
		}
	}
	r.lastTokenAt = s.now
	if token.Last {
		r.release()
		delete(s.inFlight, token.Request)
	}
}

// sendReports sends the load and the cached prefixes of each runner to every entry. A report arrives after the lag, or
// is lost.
func (s *simulation) sendReports() {
	s.schedule(s.reportInterval, s.sendReports)
	for i, r := range s.runners {
		running := r.Load()
		if i < s.zeroReporters {
			running = 0
		}
		prefixes := map[uint64]bool{}
		for _, prefix := range r.CachedPrefixes() {
			prefixes[prefix] = true
		}
		for _, e := range s.entries {
			if s.random.Float64() >= s.reportLoss {
				s.schedule(s.reportLag, func() { s.applyReport(e, s.names[i], running, prefixes) })
			}
		}
	}
}

func (s *simulation) applyReport(e *entry, name string, running int, prefixes map[uint64]bool) {
	i, known := e.pool.Find(name)
	if !known {
		return
	}
	ownCount, _ := e.inFlight.Count(name)
	r := roster.NewReport("first", time.Time{}, roster.Running(running, ownCount))
	e.pool = e.pool.WithAt(i, e.pool.At(i).WithReport(r))
	e.cached[name] = prefixes
}

// samplePeak adds a sample of the load of the most loaded runner over the mean load.
func (s *simulation) samplePeak() {
	s.schedule(sampleInterval, s.samplePeak)
	peak, total := 0, 0
	for _, r := range s.runners {
		peak, total = max(peak, r.Load()), total+r.Load()
	}
	if total > 0 {
		s.result.peakToMean += float64(peak) * float64(len(s.runners)) / float64(total)
		s.samples++
	}
}

func (s *simulation) schedule(d time.Duration, action func()) {
	s.lastID++
	heap.Push(&s.queue, timedEvent{at: s.now + d, sequence: s.lastID, action: action})
}

// drawPrefix returns the number of a prefix; low numbers are the most frequent unless skew is 0.
func (s *simulation) drawPrefix() int {
	i, _ := slices.BinarySearch(s.prefixCDF, s.random.Float64())
	return min(i, len(s.prefixCDF)-1)
}

func zipfCDF(n int, skew float64) []float64 {
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

// mix hashes a number, so that small ones spread over all 64 bits.
func mix(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}
