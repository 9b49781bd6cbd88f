package load

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/admitter"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

const (
	endpoints = 8
	// meanWork is the mean work of a request at full speed.
	meanWork = 200 * time.Millisecond
	// deadline is how long a caller waits for each try, and tries how often it sends a request.
	deadline = 2 * time.Second
	tries    = 3
	// minReturn is the smallest Retry-After that HTTP can say.
	minReturn = time.Second
	second    = time.Second
)

// capacity is how many requests a second all engines serve at full speed.
var capacity = endpoints * slots / meanWork.Seconds()

// policy is a way to admit.
type policy struct {
	name string
	wait time.Duration
	new  func() admitter.Queue
}

func policies() []policy {
	fixed := func(n int) func() admitter.Queue {
		return func() admitter.Queue { return admitter.New(admitter.Concurrency(admitter.NewLimit(admitter.Fixed(n)))) }
	}
	return []policy{
		{"no limit", 0, fixed(1 << 20)},
		{"fixed at 16, right", 0, fixed(slots)},
		{"fixed at 64, too high", 0, fixed(4 * slots)},
		{"learnt, queue with deadlines", 500 * time.Millisecond, func() admitter.Queue { return admitter.New() }},
	}
}

// request is what a caller wants, and how often it tried.
type request struct {
	account string
	tried   int
	arrived time.Time
}

// site is callers before endpoints.
type site struct {
	clock     *clock
	random    *rand.Rand
	policy    policy
	endpoints []*endpoint
	sent      int
	good      map[string]int
	offered   map[string]int
	bySecond  map[int]int
	latency   []time.Duration
}

// endpoint is an admission queue before an engine.
type endpoint struct {
	site   *site
	queue  admitter.Queue
	engine *engine
	open   int
	// waiting is the work of the attempts that were sent and did not start.
	waiting map[string]*job
}

func newSite(p policy) *site {
	s := &site{
		clock: newClock(), random: rand.New(rand.NewPCG(seed, 1)), policy: p,
		good: map[string]int{}, offered: map[string]int{}, bySecond: map[int]int{},
	}
	for range endpoints {
		e := &endpoint{site: s, queue: p.new(), waiting: map[string]*job{}}
		e.engine = newEngine(s.clock, e.finished)
		s.endpoints = append(s.endpoints, e)
	}
	s.clock.every(second, func() {
		for _, e := range s.endpoints {
			queue, decisions := e.queue.WithTime(s.clock.now)
			e.queue = queue
			e.apply(decisions)
		}
	})
	return s
}

// load lets callers of an account send requests at a rate, which may change, from now on.
func (s *site) load(account string, rate func() float64) {
	s.clock.after(s.interval(rate()), func() {
		s.offered[account]++
		s.send(&request{account: account, arrived: s.clock.now})
		s.load(account, rate)
	})
}

func (s *site) interval(rate float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / rate * float64(second))
}

// send sends a request to the less loaded of two endpoints.
func (s *site) send(r *request) {
	r.tried++
	s.sent++
	e, other := s.endpoints[s.random.IntN(endpoints)], s.endpoints[s.random.IntN(endpoints)]
	if other.open < e.open {
		e = other
	}
	a := attempt.New(strconv.Itoa(s.sent),
		attempt.Account(r.account), attempt.Deadline(s.clock.now.Add(deadline)), attempt.MaxQueueWait(s.policy.wait))
	e.offer(a, r)
}

// again lets the caller send a request again after a while, unless it gave up.
func (s *site) again(r *request, after time.Duration) {
	if r.tried < tries {
		s.clock.after(after, func() { s.send(r) })
	}
}

func (e *endpoint) offer(a attempt.Attempt, r *request) {
	work := math.Min(e.site.random.ExpFloat64()*meanWork.Seconds(), deadline.Seconds()/2)
	j := &job{id: a.ID(), left: work, request: r}
	e.waiting[a.ID()] = j
	queue, decisions := e.queue.WithOffered(a, e.site.clock.now)
	e.queue = queue
	e.open++
	e.apply(decisions)
	e.site.clock.after(deadline, func() { e.timeOut(j) })
}

func (e *endpoint) apply(decisions []admitter.Decision) {
	for _, d := range decisions {
		j := e.waiting[d.Attempt.ID()]
		switch d.Action {
		case admitter.ActionStart:
			delete(e.waiting, j.id)
			e.engine.start(j)
		case admitter.ActionRefuse:
			delete(e.waiting, j.id)
			e.open--
			jitter := 1 + e.site.random.Float64()/2
			e.site.again(j.request, time.Duration(jitter*float64(max(d.RetryAfter, minReturn))))
		case admitter.ActionWait:
		}
	}
}

// timeOut ends a job that is still running at its deadline.
func (e *endpoint) timeOut(j *job) {
	if e.engine.cancel(j) {
		e.site.again(j.request, 0)
		e.ended(j)
	}
}

func (e *endpoint) finished(j *job) {
	s := e.site
	s.good[j.request.account]++
	s.bySecond[int(s.clock.elapsed()/second)]++
	s.latency = append(s.latency, s.clock.now.Sub(j.request.arrived))
	e.ended(j)
}

func (e *endpoint) ended(j *job) {
	e.open--
	total := e.site.clock.now.Sub(j.started)
	queue, decisions := e.queue.WithFinished(admitter.Sample{TimeToFirstByte: total, Total: total}, e.site.clock.now)
	e.queue = queue
	e.apply(decisions)
}
