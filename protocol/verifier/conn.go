package verifier

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why bytes are no whole answer.
type Kind string

// The kinds of failure.
const (
	// KindReset means that the connection was broken off where its end would be that of the answer.
	KindReset Kind = "reset"
	// KindUnasked means that bytes arrived before a request, or after the whole answer to one (RFC 9112, section 9.2).
	KindUnasked Kind = "unasked"
	// KindTooLarge means that a head is larger than maxHeadBytes.
	KindTooLarge Kind = "large"
)

// Error tells why bytes are no whole answer.
type Error = fault.Error[Kind]

// tcpClose is the state of a connection that is over in both directions (TCP_CLOSE of Linux).
const tcpClose = 7

// Conn is the client's side of a TCP connection on which only the peer's own end of it (FIN) reads as io.EOF. It checks what
// arrives as it is, since net/http drops what it disregards.
//
// The kernel reports a reset or a timeout of a connection once, to the next call that reads or writes. Where that writes, reads return
// the bytes that had arrived and then their end as if the peer had closed the connection in order (RFC 9112, section 8).
type Conn struct {
	net.Conn
	// writing is held while bytes are written.
	writing sync.Mutex
	// writeErr is that of the first write that failed; writing guards it.
	writeErr error
	answers  answers
}

// Wrap returns a connection that checks what arrives on it.
func Wrap(c net.Conn) *Conn { return &Conn{Conn: c, answers: answers{stage: stageUnasked}} }

// Write writes to the connection, and keeps the first error. It writes nothing once bytes have arrived that are no answer, as what follows
// them would be taken for the next one.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.answers.expect(p); err != nil {
		return 0, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. It returns an Error of this package or of examiner in place of the end of a head that is none and of
// bytes that belong to no answer, and an Error of KindReset in place of io.EOF where a write was told that the connection failed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	n, broken := c.answers.scan(p[:n])
	if broken != nil {
		// net/http fails the request by this, and does not use the connection again.
		return 0, broken
	}
	if err == io.EOF { //nolint:errorlint // a connection returns io.EOF itself
		if failure := c.failure(); failure != nil {
			return n, fault.New("read answer", KindReset, failure)
		}
	}
	return n, err
}

// failure returns the error of the connection that a write was told of, nil if its peer ended it in order.
func (c *Conn) failure() error {
	switch {
	case c.isOver():
		// A write that is under way returns at once, and may be the one that is told.
		c.writing.Lock()
	case !c.writing.TryLock():
		return nil
	}
	defer c.writing.Unlock()
	// A write after the peer's end, to a peer that takes no more, is told EPIPE; one that was stopped here says nothing of the peer.
	if c.writeErr == nil || errors.IsAny(c.writeErr, syscall.EPIPE, net.ErrClosed, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.writeErr
}

// isOver reports whether the connection has failed, or ended in both directions.
func (c *Conn) isOver() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	over := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		over = err == nil && info.State == tcpClose
	})
	return err == nil && over
}
