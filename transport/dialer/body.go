package dialer

import (
	"io"
	"sync/atomic"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// The states of a body: not read yet, read at least in part, closed before any read.
const (
	bodyUnread int32 = iota
	bodyRead
	bodyClosed
)

// body is a request's content that records whether any of it may have been written to a connection.
// It cannot be rewound, so the HTTP client never sends it twice.
type body struct {
	content io.Reader
	state   atomic.Int32
}

func newBody(content io.Reader) *body { return &body{content: content} }

func (b *body) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUnread, bodyRead) && b.state.Load() == bodyClosed {
		return 0, fault.Newf("read body", kingcupstile.KindUnavailable, "the request ended before its body was sent")
	}
	return b.content.Read(p)
}

// closeUnread prevents every later read and returns true, or returns false if some of the body was read before.
func (b *body) closeUnread() bool { return b.state.CompareAndSwap(bodyUnread, bodyClosed) }
