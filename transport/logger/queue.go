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
	// maxQueued is the capacity of the queue in lines: the most that the rate limit lets through in about a second.
	maxQueued = 1000
	// maxLineBytes is the largest line that is written, as lines hold text that callers choose.
	maxLineBytes = 16 << 10
	// linesPerSecond and lineBurst limit the rate of logging, so that a flood of failures takes little processor time.
	linesPerSecond = 300
	lineBurst      = 1000
	// reportInterval is the time between two log lines with the number of dropped lines, and the longest that Close
	// waits.
	reportInterval = time.Second
)

// Queue writes log lines in the background. Write never blocks: a line beyond the rate limit or the queue's capacity is
// dropped and counted, as is one of more than maxLineBytes.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	closing chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// NewQueue returns a queue that writes to out and starts its goroutine, which ends after Close.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{
		out: out, lines: make(chan []byte, maxQueued), limit: rate.NewLimiter(linesPerSecond, lineBurst),
		closing: make(chan struct{}), closed: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write queues a copy of one line or drops it; it never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	if len(line) > maxLineBytes || !q.limit.Allow() {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the number was last logged.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes the queued lines and ends the queue; it waits for that for one second at most.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.closing) })
	select {
	case <-q.closed:
	case <-time.After(reportInterval):
	}
}

func (q *Queue) run() {
	defer close(q.closed)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		case <-ticker.C:
			q.reportDropped()
		case <-q.closing:
			for len(q.lines) > 0 {
				q.writeLine(<-q.lines)
			}
			q.reportDropped()
			return
		}
	}
}

// writeLine writes one line; a failed write counts as a dropped line, as a closed output must not stop the process.
func (q *Queue) writeLine(line []byte) {
	if _, err := q.out.Write(line); err != nil {
		q.dropped.Add(1)
	}
}

func (q *Queue) reportDropped() {
	if n := q.dropped.Swap(0); n > 0 {
		now := time.Now().Format(time.RFC3339Nano)
		q.writeLine(fmt.Appendf(nil, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"lines left out\",\"lines\":%d}\n", now, n))
	}
}
