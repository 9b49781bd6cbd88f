package warmer

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// window is the time in which requests to a cold runner are counted.
	window = time.Second
	// retention is how long nothing may be recorded of a warm runner before it is forgotten.
	retention = time.Minute
	// minRecords is the number of runners from which on those are forgotten.
	minRecords = 64
)

// record is what an entry knows of one runner.
type record struct {
	// coldUntil is when the runner is warm by its own answers, and reportedUntil by those of the process beside it.
	coldUntil, reportedUntil time.Duration
	// sent are the times at which the entry sent requests to the runner while it was cold, within the last window.
	sent []time.Duration
	// isCold is whether the runner was last seen cold.
	isCold bool
	// usedAt is when something was last recorded.
	usedAt time.Duration
}

// Book is what an entry knows of runners that are or were cold, as an immutable value.
type Book struct {
	records map[string]record
}

// WithStatement returns the book after a runner said in an answer how long it stays cold, 0 if it is warm; that replaces what it said
// before.
func (b Book) WithStatement(runner string, left, now time.Duration) Book {
	r, found := b.records[runner]
	if left <= 0 && !found {
		return b
	}
	r.coldUntil = now + max(0, left)
	return b.with(runner, r, now)
}

// WithReport returns the book after the process beside a runner answered how long the runner stays cold, 0 if it is warm; that replaces
// what it answered before.
func (b Book) WithReport(runner string, left, now time.Duration) Book {
	r := b.records[runner]
	if left <= 0 && r.reportedUntil <= now {
		return b
	}
	r.reportedUntil = now + max(0, left)
	return b.with(runner, r, now)
}

// WithSent returns the book after a request was sent to a cold runner.
func (b Book) WithSent(runner string, now time.Duration) Book {
	r := b.records[runner]
	first, _ := slices.BinarySearch(r.sent, now-window)
	r.sent = append(slices.Clone(r.sent[first:]), now)
	return b.with(runner, r, now)
}

// WithSeen returns the book after a runner was seen cold or warm, and whether that is a change.
func (b Book) WithSeen(runner string, isCold bool, now time.Duration) (Book, bool) {
	r := b.records[runner]
	if r.isCold == isCold {
		return b, false
	}
	r.isCold = isCold
	return b.with(runner, r, now), true
}

// Left returns how long a runner stays cold by its own answers and those of the process beside it. Each of them may be late, so that the
// longer time counts.
func (b Book) Left(runner string, now time.Duration) time.Duration {
	r := b.records[runner]
	return max(0, max(r.coldUntil, r.reportedUntil)-now)
}

// Sent returns how many requests were sent to a cold runner within the last second.
func (b Book) Sent(runner string, now time.Duration) int {
	sent := b.records[runner].sent
	first, _ := slices.BinarySearch(sent, now-window)
	return len(sent) - first
}

// Len returns of how many runners something is kept.
func (b Book) Len() int { return len(b.records) }

// Cold returns how many runners were last seen cold.
func (b Book) Cold() int {
	n := 0
	for _, r := range b.records {
		if r.isCold {
			n++
		}
	}
	return n
}

func (b Book) with(runner string, r record, now time.Duration) Book {
	r.usedAt = now
	b.records = maps.Clone(b.records)
	if b.records == nil {
		b.records = map[string]record{}
	}
	if len(b.records) >= minRecords {
		// Runners that are gone are not seen warm.
		maps.DeleteFunc(b.records, func(_ string, old record) bool {
			return max(old.usedAt, old.coldUntil, old.reportedUntil)+retention < now
		})
	}
	b.records[runner] = r
	return b
}

// Warmer keeps the book of an entry; it is safe for concurrent use.
type Warmer struct {
	mu   sync.Mutex
	book Book
}

// New returns a warmer that knows of no cold runner.
func New() *Warmer { return &Warmer{} }

// Book returns the book as it is now.
func (w *Warmer) Book() Book {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.book
}

// RecordStatement records how long a runner stays cold by its own answer.
func (w *Warmer) RecordStatement(runner string, left, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.book = w.book.WithStatement(runner, left, now)
}

// RecordReport records how long a runner stays cold by the answer of the process beside it.
func (w *Warmer) RecordReport(runner string, left, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.book = w.book.WithReport(runner, left, now)
}

// RecordSeen records whether a runner is cold, and reports whether that is a change.
func (w *Warmer) RecordSeen(runner string, isCold bool, now time.Duration) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.book, changed = w.book.WithSeen(runner, isCold, now)
	return changed
}

// Reserve records that a request is sent to a cold runner, unless as many as the limit were sent within the last second, and reports
// whether it may be sent.
func (w *Warmer) Reserve(runner string, limit int, now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.book.Sent(runner, now) >= limit {
		return false
	}
	w.book = w.book.WithSent(runner, now)
	return true
}
