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
	// deadline is how long a caller waits for each attempt, and maxAttempts how often it sends a request.
	deadline    = 2 * time.Second
	maxAttempts = 3
	// minRetryAfter is the smallest Retry-After above 0 that HTTP can express.
	minRetryAfter = time.Second
	second        = time.Second
)

// capacity is the number of requests a second that all engines together serve at full speed.
var capacity = endpoints * slots / meanWork.Seconds()

// policy is an admission policy; wait is the longest time that an attempt may be queued.
type policy struct {
	name     string
	wait     time.Duration
	newQueue func() admitter.Queue
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

// request is a caller's request with the number of attempts sent so far.
type request struct {
	account  string
	attempts int
	arrived  time.Time
}

// admissionSimulation is a set of callers that send requests to endpoints; answered counts requests answered in time.
type admissionSimulation struct {
	clock            *clock
	random           *rand.Rand
	policy           policy
	endpoints        []*endpoint
	sent             int
	answered         map[string]int
	offered          map[string]int
	answeredBySecond map[int]int
	latency          []time.Duration
}

// endpoint is an engine with an admission queue in front of it.
type endpoint struct {
	simulation *admissionSimulation
	queue      admitter.Queue
	engine     *engine
	inFlight   int
	// waiting holds the jobs of queued attempts by attempt identifier.
	waiting map[string]*job
}

func newAdmissionSimulation(p policy) *admissionSimulation {
	s := &admissionSimulation{
		clock: newClock(), random: rand.New(rand.NewPCG(seed, 1)), policy: p,
		answered: map[string]int{}, offered: map[string]int{}, answeredBySecond: map[int]int{},
	}
	for range endpoints {
		e := &endpoint{simulation: s, queue: p.newQueue(), waiting: map[string]*job{}}
		e.engine = newEngine(s.clock, e.complete)
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

// generateLoad sends an account's requests as a Poisson process from now on, at a rate that may change over time.
func (s *admissionSimulation) generateLoad(account string, rate func() float64) {
	s.clock.after(s.interval(rate()), func() {
		s.offered[account]++
		s.send(&request{account: account, arrived: s.clock.now})
		s.generateLoad(account, rate)
	})
}

func (s *admissionSimulation) interval(rate float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / rate * float64(second))
}

// send sends a request to the endpoint with fewer attempts in flight of two that are drawn at random.
func (s *admissionSimulation) send(r *request) {
	r.attempts++
	s.sent++
	e, other := s.endpoints[s.random.IntN(endpoints)], s.endpoints[s.random.IntN(endpoints)]
	if other.inFlight < e.inFlight {
		e = other
	}
	a := attempt.New(strconv.Itoa(s.sent),
		attempt.Account(r.account), attempt.Deadline(s.clock.now.Add(deadline)), attempt.MaxQueueWait(s.policy.wait))
	e.offer(a, r)
}

// retry resends a request after a delay, unless its attempts are used up.
func (s *admissionSimulation) retry(r *request, after time.Duration) {
	if r.attempts < maxAttempts {
		s.clock.after(after, func() { s.send(r) })
	}
}

func (e *endpoint) offer(a attempt.Attempt, r *request) {
	work := math.Min(e.simulation.random.ExpFloat64()*meanWork.Seconds(), deadline.Seconds()/2)
	j := &job{id: a.ID(), work: work, request: r}
	e.waiting[a.ID()] = j
	queue, decisions := e.queue.WithOffered(a, e.simulation.clock.now)
	e.queue = queue
	e.inFlight++
	e.apply(decisions)
	e.simulation.clock.after(deadline, func() { e.timeOut(j) })
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
			e.inFlight--
			jitter := 1 + e.simulation.random.Float64()/2
			e.simulation.retry(j.request, time.Duration(jitter*float64(max(d.RetryAfter, minRetryAfter))))
		case admitter.ActionWait:
		}
	}
}

// timeOut cancels a job that is still running at its deadline, and retries its request.
func (e *endpoint) timeOut(j *job) {
	if e.engine.cancel(j) {
		e.simulation.retry(j.request, 0)
		e.release(j)
	}
}

func (e *endpoint) complete(j *job) {
	s := e.simulation
	s.answered[j.request.account]++
	s.answeredBySecond[int(s.clock.elapsed()/second)]++
	s.latency = append(s.latency, s.clock.now.Sub(j.request.arrived))
	e.release(j)
}

func (e *endpoint) release(j *job) {
	e.inFlight--
	total := e.simulation.clock.now.Sub(j.started)
	queue, decisions := e.queue.WithFinished(admitter.Sample{TimeToFirstByte: total, Total: total}, e.simulation.clock.now)
	e.queue = queue
	e.apply(decisions)
}
