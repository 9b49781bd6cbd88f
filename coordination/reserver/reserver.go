package reserver

import (
	"slices"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/state/rank"
)

const (
	// settleTime is how long after its announcement a request is in the runner's reports.
	settleTime = 20 * time.Millisecond
	// coldSettleTime is the same while the runner is cold: entries open new connections to a runner that is back, and a request that is
	// not counted for a moment has one too many sent to a cold runner.
	coldSettleTime = 60 * time.Millisecond
	// announceLifetime is how long an announced request counts if no report follows, in which case it may never have
	// been sent.
	announceLifetime = 250 * time.Millisecond
	// recentTime is the time in which announcements are counted for cold runners.
	recentTime = time.Second
)

// Book is the open requests of a runner, as an immutable value.
type Book struct {
	reported   rank.Load
	reportedAt time.Duration
	known      bool
	// announced are the times of announcements that the last report does not include, in ascending order.
	announced []time.Duration
	// tracksCold is whether it is known for how long the runner stays cold: until coldUntil, by its answers, or until warmAt, by its
	// registration. recent are then the times of all announcements within recentTime, in ascending order.
	tracksCold        bool
	coldUntil, warmAt time.Duration
	recent            []time.Duration
}

// WithCold returns the book with the announcements of the last second counted, and with how long the runner stays cold.
func (b Book) WithCold() Book {
	b.tracksCold = true
	return b
}

// WithStatement returns the book after the runner said in an answer how long it stays cold, 0 if it is warm.
func (b Book) WithStatement(left, at time.Duration) Book {
	b.coldUntil = at + max(0, left)
	return b
}

// WithRegistration returns the book with the time at which the runner is warm by its registration.
func (b Book) WithRegistration(warmAt time.Duration) Book {
	b.warmAt = warmAt
	return b
}

// WithReport returns the book after a report of the runner at a time.
func (b Book) WithReport(l rank.Load, at time.Duration) Book {
	if b.known && at <= b.reportedAt {
		return b
	}
	b.reported, b.reportedAt, b.known = l, at, true
	settled := at - settleTime
	if b.cold(at) > 0 {
		settled = at - coldSettleTime
	}
	first, _ := slices.BinarySearch(b.announced, settled)
	b.announced = b.announced[first:]
	return b
}

// WithAnnounced returns the book after the announcement of one more request.
func (b Book) WithAnnounced(at time.Duration) Book {
	b.announced = append(slices.Clip(b.announced), at)
	if b.tracksCold {
		first, _ := slices.BinarySearch(b.recent, at-recentTime)
		b.recent = append(slices.Clip(b.recent[first:]), at)
	}
	return b
}

// Load returns the last report with the announced requests added, and false if it is missing or older than maxAge.
func (b Book) Load(now, maxAge time.Duration) (rank.Load, bool) {
	first, _ := slices.BinarySearch(b.announced, now-announceLifetime)
	l := b.reported
	l.Open += len(b.announced) - first
	if b.tracksCold {
		first, _ := slices.BinarySearch(b.recent, now-recentTime)
		l.Recent, l.Cold = len(b.recent)-first, b.cold(now)
	}
	return l, b.known && now-b.reportedAt <= maxAge
}

// cold returns how long the runner stays cold, 0 if it is warm or that is not tracked.
func (b Book) cold(now time.Duration) time.Duration {
	if !b.tracksCold {
		return 0
	}
	return max(0, max(b.coldUntil, b.warmAt)-now)
}

// maxReportAge is how old the last report may be for its runner's load to be known.
const maxReportAge = time.Second

// Reserver keeps the book of one runner; it is safe for concurrent use.
type Reserver struct {
	mu   sync.Mutex
	book Book
}

// New returns a reserver whose runner has not reported yet.
func New() *Reserver { return &Reserver{} }

// TrackCold makes the reserver count the announcements of the last second, and keep for how long the runner stays cold.
func (r *Reserver) TrackCold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book = r.book.WithCold()
}

// Cold returns how long the runner stays cold, 0 if it is warm or that is not tracked.
func (r *Reserver) Cold(now time.Duration) time.Duration {
	l, _ := r.Load(now)
	return l.Cold
}

// RecordStatement records how long the runner stays cold by its own answer.
func (r *Reserver) RecordStatement(left, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book = r.book.WithStatement(left, at)
}

// RecordRegistration records when the runner is warm by its registration.
func (r *Reserver) RecordRegistration(warmAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book = r.book.WithRegistration(warmAt)
}

// Report records what the runner reported at a time.
func (r *Reserver) Report(l rank.Load, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book = r.book.WithReport(l, at)
}

// Announce records that a request is about to be sent to the runner.
func (r *Reserver) Announce(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book = r.book.WithAnnounced(now)
}

// Load returns the runner's load, and false if it has not reported within the last second.
func (r *Reserver) Load(now time.Duration) (rank.Load, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Load(now, maxReportAge)
}
