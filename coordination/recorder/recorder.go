package recorder

import (
	"sync"
	"sync/atomic"

	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// frameOverhead is the approximate size of a frame without its data, in bytes.
const frameOverhead = 256

// node is an element of the linked list of frames; next is set before ready is closed.
type node struct {
	frame attempt.Frame
	next  *node
	ready chan struct{}
}

// Recorder holds the frames of one attempt's answer; one goroutine appends them and many read them.
type Recorder struct {
	first *node
	size  atomic.Int64

	mu         sync.Mutex
	last       *node
	done       bool
	nextOffset uint64
}

// New returns a recorder without frames.
func New() *Recorder {
	n := &node{ready: make(chan struct{})}
	return &Recorder{first: n, last: n}
}

// Append adds a frame at the next offset, whatever offset it has; once the answer has its last frame, others are
// ignored.
func (r *Recorder) Append(f attempt.Frame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		return
	}
	n := &node{frame: f.WithOffset(r.nextOffset), ready: make(chan struct{})}
	r.nextOffset++
	r.size.Add(int64(len(f.Data())) + frameOverhead)
	r.done = f.IsLast()
	r.last.next = n
	close(r.last.ready)
	r.last = n
}

// Size returns the approximate size of all frames in bytes.
func (r *Recorder) Size() int64 { return r.size.Load() }

// Reader reads an answer's frames in order from one offset on; it is for use by one goroutine.
type Reader struct {
	current *node
	offset  uint64
}

// NewReader returns a reader whose first frame is the one at offset.
func (r *Recorder) NewReader(offset uint64) *Reader { return &Reader{current: r.first, offset: offset} }

// Ready returns a channel that is closed once Take has a frame. Call it again before each Take.
func (r *Reader) Ready() <-chan struct{} {
	for {
		select {
		case <-r.current.ready:
			if next := r.current.next.frame; next.Offset() >= r.offset || next.IsLast() {
				return r.current.ready
			}
			r.current = r.current.next
		default:
			return r.current.ready
		}
	}
}

// Take returns the next frame and true, or false if no frame is ready or the frame lies before the reader's offset.
// For an answer that ends before that offset it returns a last frame with attempt.ReasonOffsetBeyondEnd.
func (r *Reader) Take() (attempt.Frame, bool) {
	select {
	case <-r.current.ready:
		r.current = r.current.next
	default:
		return attempt.Frame{}, false
	}
	f := r.current.frame
	if f.Offset() < r.offset && f.IsLast() {
		return attempt.NewFrame(r.offset, attempt.Last(f.Outcome(), attempt.ReasonOffsetBeyondEnd)), true
	}
	return f, f.Offset() >= r.offset
}
