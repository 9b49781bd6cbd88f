package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queued is how many lines wait at most: a second of the most that are let through.
	queued = 1000
	// linesPerSecond and lineBurst bound how much is logged, so that a flood of failures costs little of a core's time.
	linesPerSecond = 300
	lineBurst      = 1000
	// reportEvery is how often the number of lines left out is logged.
	reportEvery = time.Second
)

// Queue writes lines without ever blocking who logs them: what does not fit is left out and counted.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	left    atomic.Int64
	closing chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// NewQueue returns a queue that writes to out until Close is called.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{
		out: out, lines: make(chan []byte, queued), limit: rate.NewLimiter(linesPerSecond, lineBurst),
		closing: make(chan struct{}), closed: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write queues one line, and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.limit.Allow() {
		q.left.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.left.Add(1)
	}
	return len(line), nil
}

// LeftOut returns how many lines were left out since that was last logged.
func (q *Queue) LeftOut() int64 { return q.left.Load() }

// Close writes what is queued, for a limited time, and ends the queue.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.closing) })
	select {
	case <-q.closed:
	case <-time.After(reportEvery):
	}
}

func (q *Queue) run() {
	defer close(q.closed)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-q.lines:
			q.put(line)
		case <-ticker.C:
			q.report()
		case <-q.closing:
			for len(q.lines) > 0 {
				q.put(<-q.lines)
			}
			q.report()
			return
		}
	}
}

// put writes one line; a reader that is gone is no reason to stop serving.
func (q *Queue) put(line []byte) {
	if _, err := q.out.Write(line); err != nil {
		q.left.Add(1)
	}
}

func (q *Queue) report() {
	if n := q.left.Swap(0); n > 0 {
		now := time.Now().Format(time.RFC3339Nano)
		q.put(fmt.Appendf(nil, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"lines left out\",\"lines\":%d}\n", now, n))
	}
}
