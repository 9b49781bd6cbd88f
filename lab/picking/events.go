package picking

import "time"

// timedEvent is an action due at a simulated time; events due at the same time run in the order of their sequence
// numbers.
type timedEvent struct {
	at       time.Duration
	sequence uint64
	action   func()
}

// eventQueue implements heap.Interface for events, the earliest first.
type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(timedEvent)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
