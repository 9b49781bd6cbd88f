package load

import (
	"container/heap"
	"time"
)

// origin is the time at which each simulation starts.
var origin = time.Unix(1_800_000_000, 0)

// clock is a discrete-event scheduler: it runs functions in the order of their simulated times.
type clock struct {
	now     time.Time
	pending eventQueue
	count   int
}

type scheduledEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []scheduledEvent

func newClock() *clock { return &clock{now: origin} }

// after schedules a function; a negative delay counts as 0.
func (c *clock) after(d time.Duration, run func()) {
	c.count++
	heap.Push(&c.pending, scheduledEvent{at: c.now.Add(max(0, d)), order: c.count, run: run})
}

// every runs a function repeatedly, for the first time after one interval.
func (c *clock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

// runFor advances the simulated time and runs what falls due, up to and including the end.
func (c *clock) runFor(d time.Duration) {
	end := c.now.Add(d)
	for len(c.pending) > 0 && !c.pending[0].at.After(end) {
		next := heap.Pop(&c.pending).(scheduledEvent)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// elapsed returns the simulated time since origin.
func (c *clock) elapsed() time.Duration { return c.now.Sub(origin) }

// Len returns the number of scheduled events.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by time; events at the same time run in the order in which they were scheduled.
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

// Swap exchanges two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event, as container/heap requires.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

// Pop removes and returns the last element, as container/heap requires.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = scheduledEvent{}
	*q = old[:len(old)-1]
	return last
}
