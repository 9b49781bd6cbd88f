package estimator

import (
	"sync"
	"time"
)

// Kind names the requests that take alike: those for one service whose answers are, or are not, streams.
type Kind struct {
	Service  string
	IsStream bool
}

// Work is how long runners take for the requests of one kind.
type Work struct {
	// Begin is the time until the first event of a stream, or until another answer, without that for reading the prompt.
	Begin Estimate
	// Whole is the time until the end of the answer.
	Whole Estimate
}

// Book keeps what was measured of each kind of request. It is shared by the goroutines that serve traffic, and is not part of the
// control state.
type Book struct {
	mu   sync.Mutex
	work map[Kind]Work
}

// NewBook returns a book without measurements.
func NewBook() *Book { return &Book{work: map[Kind]Work{}} }

// Work returns how long runners take for a kind of request.
func (b *Book) Work(k Kind) Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.work[k]
}

// RecordBegin records the time until a runner began to answer.
func (b *Book) RecordBegin(k Kind, d time.Duration) {
	b.update(k, func(w *Work) { w.Begin = w.Begin.WithSample(max(0, d)) })
}

// RecordWhole records the time until the end of a whole answer.
func (b *Book) RecordWhole(k Kind, d time.Duration) {
	b.update(k, func(w *Work) { w.Whole = w.Whole.WithSample(max(0, d)) })
}

func (b *Book) update(k Kind, change func(*Work)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.work[k]
	change(&w)
	b.work[k] = w
}
