package reserver

import (
	"slices"
	"sync"
	"time"
)

const (
	// settleTime is how long after its announcement a request is in the runner's reports.
	settleTime = 20 * time.Millisecond
	// announceLifetime is how long an announced request counts if no report follows, in which case it may never have
	// been sent.
	announceLifetime = 250 * time.Millisecond
)

// Book is the open requests of a runner, as an immutable value.
type Book struct {
	reported   int
	reportedAt time.Duration
	known      bool
	// announced are the times of announcements that the last report does not include, in ascending order.
	announced []time.Duration
}

// WithReport returns the book after a report of the number of open requests at a time.
func (b Book) WithReport(open int, at time.Duration) Book {
	if b.known && at <= b.reportedAt {
		return b
	}
	b.reported, b.reportedAt, b.known = open, at, true
	first, _ := slices.BinarySearch(b.announced, at-settleTime)
	b.announced = b.announced[first:]
	return b
}

// WithAnnounced returns the book after the announcement of one more request.
func (b Book) WithAnnounced(at time.Duration) Book {
	b.announced = append(slices.Clip(b.announced), at)
	return b
}

// Open returns the number of open requests, and false if the last report is missing or older than maxAge.
func (b Book) Open(now, maxAge time.Duration) (int, bool) {
	first, _ := slices.BinarySearch(b.announced, now-announceLifetime)
	return b.reported + len(b.announced) - first, b.known && now-b.reportedAt <= maxAge
}

// maxReportAge is how old the last report may be for its runner's open requests to be known.
const maxReportAge = time.Second

// Reserver keeps the book of one runner; it is safe for concurrent use.
type Reserver struct {
	mu   sync.Mutex
	book Book
}

// New returns a reserver whose runner has not reported yet.
func New() *Reserver { return &Reserver{} }

// Report records the number of open requests that the runner reported at a time.
func (r *Reserver) Report(open int, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book = r.book.WithReport(open, at)
}

// Announce records that a request is about to be sent to the runner.
func (r *Reserver) Announce(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book = r.book.WithAnnounced(now)
}

// Open returns the runner's open requests, and false if it has not reported within the last second.
func (r *Reserver) Open(now time.Duration) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Open(now, maxReportAge)
}
