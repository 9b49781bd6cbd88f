package admitter

import (
	"encoding/binary"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// DefaultCapacity is how many attempts may wait by default.
const DefaultCapacity = 1024

const (
	// priorityFactor is the ratio of the weights of two adjacent priorities.
	priorityFactor = 4
	// maxPriority is the priority above which the weight no longer grows.
	maxPriority = 6
	// attemptCost is the virtual time by which one attempt of priority 0 advances its account's finish tag.
	attemptCost = 1 << 20
	// runTimeWeight is the weight of one sample in the moving average of the run time.
	runTimeWeight = 0.1
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// queuedAttempt is an attempt that waits; at waitUntil it is too late for it to start.
type queuedAttempt struct {
	attempt   attempt.Attempt
	waitUntil time.Time
	finishTag uint64
}

// Queue is the attempts that run and wait at one endpoint. Those that wait start in the order of weighted fair
// queueing: accounts get equal shares, times a weight that grows with the priority of their attempts.
type Queue struct {
	limit Limit
	// capacity is how many attempts may wait.
	capacity int
	running  int
	// isolated says that an attempt runs that must run alone.
	isolated    bool
	meanRunTime time.Duration
	// virtualTime is the clock of the fair queueing.
	virtualTime uint64
	// sequence orders attempts of the same finish tag by arrival.
	sequence uint64
	// queued holds the attempts that wait, by finish tag and sequence.
	queued *iradix.Tree[queuedAttempt]
	// keys holds the key in queued of each attempt that waits, by its identifier.
	keys *iradix.Tree[[]byte]
	// finishTags holds the last finish tag of each account.
	finishTags *iradix.Tree[uint64]
}

// Option sets a field of a Queue under construction.
type Option func(*Queue)

// Concurrency sets the concurrency limit, which is the default Limit otherwise.
func Concurrency(l Limit) Option { return func(q *Queue) { q.limit = l } }

// Capacity sets how many attempts may wait.
func Capacity(n int) Option { return func(q *Queue) { q.capacity = n } }

// New returns the queue of an endpoint on which no attempt runs.
func New(options ...Option) Queue {
	q := Queue{
		limit:      NewLimit(),
		capacity:   DefaultCapacity,
		queued:     iradix.New[queuedAttempt](),
		keys:       iradix.New[[]byte](),
		finishTags: iradix.New[uint64](),
	}
	for _, option := range options {
		option(&q)
	}
	return q
}

// Running returns how many attempts run.
func (q Queue) Running() int { return q.running }

// Waiting returns how many attempts wait.
func (q Queue) Waiting() int { return q.queued.Len() }

// Limit returns how many attempts may run at once.
func (q Queue) Limit() int { return q.limit.Value() }

// MeanRunTime returns the moving average of attempts' run time, 0 before the first one.
func (q Queue) MeanRunTime() time.Duration { return q.meanRunTime }

// WithOffered returns the queue after an attempt arrived, with the decision on it first and then those on attempts that
// it displaces or that start now.
func (q Queue) WithOffered(a attempt.Attempt, now time.Time) (Queue, []Decision) {
	if q.isIsolating() && !a.IsAlone() {
		return q, []Decision{{Action: ActionRefuse, Attempt: a, Reason: ReasonIsolating}}
	}
	if q.queued.Len() == 0 && q.hasRoomFor(a) {
		return q.withStarted(q.nextFinishTag(a), a), []Decision{{Action: ActionStart, Attempt: a}}
	}
	tag := q.nextFinishTag(a)
	ahead := q.countAhead(tag)
	if after, late := q.isLate(a, ahead, now); late {
		return q, []Decision{{Action: ActionRefuse, Attempt: a, Reason: ReasonOverload, RetryAfter: after}}
	}
	q = q.withWaiting(tag, a, now)
	decisions := []Decision{{Action: ActionWait, Attempt: a}}
	q, displaced := q.withoutLate(now)
	decisions = append(decisions, displaced...)
	if a.IsAlone() {
		q, displaced = q.withoutNonExclusive()
		decisions = append(decisions, displaced...)
	}
	q, started := q.withQueueAdvanced(now)
	return q, append(decisions, started...)
}

// WithFinished returns the queue after an attempt ended, with the decisions on attempts that wait; a sample of zero
// changes neither the limit nor the mean run time.
func (q Queue) WithFinished(s Sample, now time.Time) (Queue, []Decision) {
	if s.Total > 0 {
		q.limit = q.limit.WithSample(s, q.running)
		q.meanRunTime = updateMean(q.meanRunTime, s.Total)
	}
	q.running--
	q.isolated = q.isolated && q.running > 0
	return q.withQueueAdvanced(now)
}

// WithStartAborted returns the queue after an attempt that it let start did not run, with the decisions on attempts
// that wait.
func (q Queue) WithStartAborted(now time.Time) (Queue, []Decision) {
	q.running--
	q.isolated = q.isolated && q.running > 0
	return q.withQueueAdvanced(now)
}

// WithTime returns the queue at a later time, with the decisions on attempts that wait.
func (q Queue) WithTime(now time.Time) (Queue, []Decision) { return q.withQueueAdvanced(now) }

// Without returns the queue without the attempt of an identifier, and false if that does not wait.
func (q Queue) Without(id string) (Queue, bool) {
	key, found := q.keys.Get([]byte(id))
	if !found {
		return q, false
	}
	return q.without(key, id), true
}

func (q Queue) without(key []byte, id string) Queue {
	q.queued, _, _ = q.queued.Delete(key)
	q.keys, _, _ = q.keys.Delete([]byte(id))
	return q
}

// isIsolating reports whether an attempt that must run alone runs or is the next to start.
func (q Queue) isIsolating() bool {
	if q.isolated {
		return true
	}
	_, w, found := q.queued.Root().Minimum()
	return found && w.attempt.IsAlone()
}

func (q Queue) hasRoomFor(a attempt.Attempt) bool {
	if a.IsAlone() || q.isolated {
		return q.running == 0
	}
	return q.running < max(1, q.limit.Value())
}

// nextFinishTag returns the finish tag of an attempt in weighted fair queueing: its cost, divided by its weight, after
// the last tag of its account or the virtual time, whichever is later. An attempt that must run alone gets 0 and goes
// first.
func (q Queue) nextFinishTag(a attempt.Attempt) uint64 {
	if a.IsAlone() {
		return 0
	}
	last, _ := q.finishTags.Get([]byte(a.Account()))
	weight := uint64(1)
	for range min(a.Priority(), maxPriority) {
		weight *= priorityFactor
	}
	return max(last, q.virtualTime) + attemptCost/weight
}

// countAhead returns how many waiting attempts start before a new one of the given finish tag.
func (q Queue) countAhead(tag uint64) int {
	n := 0
	q.queued.Root().Walk(func(_ []byte, w queuedAttempt) bool {
		if w.finishTag > tag {
			return true
		}
		n++
		return false
	})
	return n
}

// estimateWait estimates how long an attempt waits that has a number of others ahead of it in the queue.
func (q Queue) estimateWait(ahead int) time.Duration {
	return time.Duration(float64(ahead+1) * float64(q.meanRunTime) / float64(max(1, q.limit.Value())))
}

// maxWait returns how long an attempt can wait and still meet its deadline, if it runs as long as the mean; its own
// bound on waiting holds, too, unless it must run alone.
func (q Queue) maxWait(a attempt.Attempt, now time.Time) time.Duration {
	left := a.Deadline().Sub(now) - q.meanRunTime
	if a.IsAlone() {
		return left
	}
	return min(left, a.MaxQueueWait())
}

// isLate reports whether an attempt with a number of others ahead of it would start too late or finds the queue full,
// and how long the caller should wait before a retry.
func (q Queue) isLate(a attempt.Attempt, ahead int, now time.Time) (time.Duration, bool) {
	allowed, wait := q.maxWait(a, now), q.estimateWait(ahead)
	if allowed > 0 && wait <= allowed && ahead < q.capacity {
		return 0, false
	}
	return min(max(wait-max(allowed, 0), minRetryAfter), maxRetryAfter), true
}

func (q Queue) withWaiting(tag uint64, a attempt.Attempt, now time.Time) Queue {
	q.sequence++
	key := binary.BigEndian.AppendUint64(make([]byte, 0, 16), tag)
	key = binary.BigEndian.AppendUint64(key, q.sequence)
	w := queuedAttempt{attempt: a, waitUntil: now.Add(q.maxWait(a, now)), finishTag: tag}
	q.queued, _, _ = q.queued.Insert(key, w)
	q.keys, _, _ = q.keys.Insert([]byte(a.ID()), key)
	if !a.IsAlone() {
		q.finishTags, _, _ = q.finishTags.Insert([]byte(a.Account()), tag)
	}
	return q
}

func (q Queue) withStarted(tag uint64, a attempt.Attempt) Queue {
	q.running++
	q.isolated = a.IsAlone()
	q.virtualTime = max(q.virtualTime, tag-min(tag, attemptCost))
	if !a.IsAlone() {
		q.finishTags, _, _ = q.finishTags.Insert([]byte(a.Account()), tag)
	}
	if q.queued.Len() == 0 {
		q.finishTags, q.virtualTime = iradix.New[uint64](), 0
	}
	return q
}

// withoutLate refuses attempts, the last in the queue first, until the last one would start in time and the queue is
// within its capacity; the first in the queue stays.
func (q Queue) withoutLate(now time.Time) (Queue, []Decision) {
	var decisions []Decision
	for {
		key, w, found := q.queued.Root().Maximum()
		ahead := q.queued.Len() - 1
		if !found || ahead == 0 {
			return q, decisions
		}
		left := w.waitUntil.Sub(now)
		if q.estimateWait(ahead) <= left && ahead < q.capacity {
			return q, decisions
		}
		q = q.without(key, w.attempt.ID())
		after := min(max(q.estimateWait(ahead)-left, minRetryAfter), maxRetryAfter)
		decisions = append(decisions, Decision{Action: ActionRefuse, Attempt: w.attempt, Reason: ReasonOverload, RetryAfter: after})
	}
}

// withoutNonExclusive refuses the attempts that wait behind one that must run alone, so that they can run on another
// endpoint.
func (q Queue) withoutNonExclusive() (Queue, []Decision) {
	var decisions []Decision
	var keys [][]byte
	q.queued.Root().Walk(func(key []byte, w queuedAttempt) bool {
		if !w.attempt.IsAlone() {
			keys = append(keys, key)
			decisions = append(decisions, Decision{Action: ActionRefuse, Attempt: w.attempt, Reason: ReasonIsolating})
		}
		return false
	})
	for i, key := range keys {
		q = q.without(key, decisions[i].Attempt.ID())
	}
	return q, decisions
}

// withQueueAdvanced takes attempts from the head of the queue: it refuses those that have waited too long, and starts
// the others while there is room.
func (q Queue) withQueueAdvanced(now time.Time) (Queue, []Decision) {
	var decisions []Decision
	for {
		key, w, found := q.queued.Root().Minimum()
		switch {
		case !found:
			return q, decisions
		case !w.waitUntil.After(now):
			q = q.without(key, w.attempt.ID())
			decisions = append(decisions, Decision{Action: ActionRefuse, Attempt: w.attempt, Reason: ReasonOverload,
				RetryAfter: max(q.estimateWait(0), minRetryAfter)})
		case q.hasRoomFor(w.attempt):
			q = q.without(key, w.attempt.ID()).withStarted(w.finishTag, w.attempt)
			decisions = append(decisions, Decision{Action: ActionStart, Attempt: w.attempt})
		default:
			return q, decisions
		}
	}
}

// updateMean returns the moving average of the run time after a sample; a mean of 0 stands for none.
func updateMean(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(runTimeWeight*float64(sample-mean))
}
