package budgeter

import (
	"io"
	"sync"

	"golang.org/x/sync/semaphore"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why bytes were not kept.
type Kind string

// The kinds of failure.
const (
	// KindFull says that the process keeps too many bytes already.
	KindFull Kind = "full"
	// KindTooLarge says that there are more bytes than one holder may keep.
	KindTooLarge Kind = "large"
	// KindReadFailed says that the bytes could not be read to their end.
	KindReadFailed Kind = "lost"
)

// Error tells why bytes were not kept.
type Error = fault.Error[Kind]

const (
	// smallBytes is how much a holder keeps at most that takes from the budget for small ones.
	smallBytes = 64 << 10
	// firstBytes is the size of the first buffer for bytes whose number is not known.
	firstBytes = 4 << 10
	// smallDivisor and largeDivisor are the divisors of the memory that give the two budgets. The rest is for the process itself
	// and for what is garbage but not collected yet.
	smallDivisor = 8
	largeDivisor = 5
)

// Budgeter holds the budgets of a process; it is safe for concurrent use.
type Budgeter struct{ small, large *semaphore.Weighted }

// New returns a budgeter for a process that may use a number of bytes of memory in all.
func New(memory int64) *Budgeter {
	return &Budgeter{small: semaphore.NewWeighted(memory / smallDivisor), large: semaphore.NewWeighted(memory / largeDivisor)}
}

// Reservation is what one holder keeps, from one of the two budgets; it is safe for concurrent use.
type Reservation struct {
	budgeter *Budgeter
	mu       sync.Mutex
	held     int64
	isLarge  bool
	released bool
}

// Begin returns a reservation of no bytes, which the caller must release.
func (r *Budgeter) Begin() *Reservation { return &Reservation{budgeter: r} }

// Add adds a number of bytes, and returns false and adds none if the budget does not allow them or the reservation was released. A
// reservation that becomes a large one no longer takes from the budget for small ones.
func (n *Reservation) Add(bytes int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := n.held + bytes
	switch {
	case n.released:
		return false
	case n.isLarge:
		if !n.budgeter.large.TryAcquire(bytes) {
			return false
		}
	case next <= smallBytes:
		if !n.budgeter.small.TryAcquire(bytes) {
			return false
		}
	default:
		if !n.budgeter.large.TryAcquire(next) {
			return false
		}
		n.budgeter.small.Release(n.held)
		n.isLarge = true
	}
	n.held = next
	return true
}

// Remove gives back a number of bytes that were added; it does nothing once the reservation was released.
func (n *Reservation) Remove(bytes int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.released {
		n.remove(bytes)
	}
}

func (n *Reservation) remove(bytes int64) {
	if n.isLarge {
		n.budgeter.large.Release(bytes)
	} else {
		n.budgeter.small.Release(bytes)
	}
	n.held -= bytes
}

// Release gives back all bytes; nothing can be added any more.
func (n *Reservation) Release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.remove(n.held)
	n.released = true
}

// ReadAll reads all bytes of a source, of which expected are announced (0 or less if none are), and adds what it keeps. It returns an
// Error of KindFull, KindTooLarge if there are more than most, or KindReadFailed; then it keeps nothing.
func (n *Reservation) ReadAll(source io.Reader, expected, most int64) ([]byte, error) {
	if expected > most {
		return nil, fault.Newf("read", KindTooLarge, "%d bytes are announced, more than %d", expected, most)
	}
	// One byte more than expected, so that the end is found without a larger buffer. What is only announced is not reserved.
	size := min(max(expected+1, firstBytes), smallBytes, most+1)
	if !n.Add(size) {
		return nil, fault.Newf("read", KindFull, "no memory for %d bytes", size)
	}
	kept := make([]byte, 0, size)
	for {
		read, err := source.Read(kept[len(kept):cap(kept)])
		kept = kept[:len(kept)+read]
		switch {
		case int64(len(kept)) > most:
			n.Remove(int64(cap(kept)))
			return nil, fault.Newf("read", KindTooLarge, "more than %d bytes", most)
		case err == io.EOF:
			return kept, nil
		case err != nil:
			n.Remove(int64(cap(kept)))
			return nil, fault.New("read", KindReadFailed, err)
		case len(kept) < cap(kept):
			continue
		}
		more := min(int64(cap(kept)), most+1-int64(cap(kept)))
		if !n.Add(more) {
			n.Remove(int64(cap(kept)))
			return nil, fault.Newf("read", KindFull, "no memory for more than %d bytes", len(kept))
		}
		kept = append(make([]byte, 0, int64(cap(kept))+more), kept...)
	}
}
