package load

import (
	"container/heap"
	"math"
	"time"
)

const (
	// slots is the number of jobs that an engine runs concurrently at full speed.
	slots = 16
	// overloadPenalty is how strongly throughput falls under overload: with n jobs it is divided by
	// 1 + overloadPenalty × (n/slots - 1).
	overloadPenalty = 0.25
)

// engine is a processor-sharing server: it shares its speed evenly among its jobs, and beyond slots jobs its total
// throughput falls.
type engine struct {
	clock *clock
	jobs  jobQueue
	// workPerJob is the work that each job would have received since the start, in seconds at full speed.
	workPerJob float64
	updated    time.Time
	version    int
	done       func(*job)
}

// job is work for an engine, in seconds at full speed; endsAt is the engine's workPerJob at which the job is done.
type job struct {
	id      string
	work    float64
	endsAt  float64
	index   int
	started time.Time
	request *request
}

func newEngine(c *clock, done func(*job)) *engine {
	return &engine{clock: c, updated: c.now, done: done}
}

// speed returns the speed of each job, where 1 is full speed.
func (e *engine) speed() float64 {
	n := float64(len(e.jobs))
	if n <= slots {
		return 1
	}
	return slots / n / (1 + overloadPenalty*(n/slots-1))
}

func (e *engine) advance() {
	e.workPerJob += e.clock.now.Sub(e.updated).Seconds() * e.speed()
	e.updated = e.clock.now
}

func (e *engine) start(j *job) {
	e.advance()
	j.started, j.endsAt = e.clock.now, e.workPerJob+j.work
	heap.Push(&e.jobs, j)
	e.schedule()
}

// cancel removes a job if it is running, and reports whether it was.
func (e *engine) cancel(j *job) bool {
	if j.index >= len(e.jobs) || e.jobs[j.index] != j {
		return false
	}
	e.advance()
	heap.Remove(&e.jobs, j.index)
	e.schedule()
	return true
}

// schedule schedules the end of the job that ends next; the version makes an earlier schedule void.
func (e *engine) schedule() {
	e.version++
	if len(e.jobs) == 0 {
		return
	}
	version, next := e.version, e.jobs[0]
	wait := time.Duration(math.Ceil(math.Max(0, next.endsAt-e.workPerJob) / e.speed() * float64(second)))
	e.clock.after(wait, func() {
		if version != e.version {
			return
		}
		e.advance()
		heap.Remove(&e.jobs, next.index)
		e.schedule()
		e.done(next)
	})
}

// jobQueue is a heap of jobs, ordered by when they end.
type jobQueue []*job

// Len returns the number of jobs.
func (q jobQueue) Len() int { return len(q) }

// Less orders jobs by when they end.
func (q jobQueue) Less(i, j int) bool { return q[i].endsAt < q[j].endsAt }

// Swap exchanges two jobs.
func (q jobQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends a job, as container/heap requires.
func (q *jobQueue) Push(x any) {
	j := x.(*job)
	j.index = len(*q)
	*q = append(*q, j)
}

// Pop removes and returns the last element, as container/heap requires.
func (q *jobQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
