package conduit

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/kingcupstile/kingcupstile/coordination/budgeter"
	"github.com/kingcupstile/kingcupstile/protocol/examiner"
	"github.com/kingcupstile/kingcupstile/protocol/verifier"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies how far a failed request got.
type Kind string

// The kinds of failure.
const (
	// KindUnsent says that nothing of the request was written.
	KindUnsent Kind = "unsent"
	// KindCut says that the request was written, at least in part, and no usable answer was received in full.
	KindCut Kind = "cut"
	// KindWithheld says that nothing was written, as the request must not be sent any more.
	KindWithheld Kind = "withheld"
)

// Error is the failure of a request that got no complete answer.
type Error = fault.Error[Kind]

const (
	// DialTimeout bounds how long opening a connection may take: a round trip takes a few milliseconds, and a lost SYN
	// is only sent again after 1 s.
	DialTimeout = 400 * time.Millisecond
	// ackTimeout is how long sent data may stay unacknowledged by the peer's kernel before the connection is closed.
	ackTimeout = 1200 * time.Millisecond
	// maxHeadBytes limits how much of the head of an answer is read; runners' heads are a few hundred bytes.
	maxHeadBytes = 64 << 10
)

// Request is an HTTP request to a runner, with its whole body.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaySend is called just before the request is written, and reports whether it may be; nil stands for always.
	MaySend func() bool
}

// Exchange is a sent request with the head of its answer and its connection, which is open until Close is called.
type Exchange struct {
	connection net.Conn
	answer     *http.Response
	close      func()
}

// Send opens a connection to an address, writes the request and reads the head of the answer, or returns an Error of
// KindUnsent, KindCut or KindWithheld. The connection is closed when ctx ends before Close is called.
func Send(ctx context.Context, address string, r Request) (*Exchange, error) {
	dialer := net.Dialer{Timeout: DialTimeout, Control: setAckTimeout, KeepAlive: -1}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.New("dial", KindUnsent, err)
	}
	connection := verifier.Wrap(opened)
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	x := &Exchange{connection: connection, close: sync.OnceFunc(func() {
		stop()
		_ = connection.Close()
	})}
	if ctx.Err() != nil {
		x.close()
		return nil, fault.New("dial", KindUnsent, ctx.Err())
	}
	if r.MaySend != nil && !r.MaySend() {
		x.close()
		return nil, fault.New("write request", KindWithheld, nil)
	}
	partial := false
	if n, err := connection.Write(r.encode()); err != nil {
		if n == 0 {
			x.close()
			return nil, fault.New("write request", KindUnsent, err)
		}
		// A runner may answer and close the connection before it has read the whole request, so the answer is still
		// read.
		partial = true
	}
	//nolint:bodyclose // closing the connection ends the body, which holds nothing else
	x.answer, err = readHead(connection, r.Method)
	if err == nil {
		err = examiner.Check(x.answer)
	}
	if err != nil {
		x.close()
		return nil, fault.New("read answer", KindCut, errors.Wrapf(err, "request written in full: %t", !partial))
	}
	verifier.Trailers(x.answer)
	return x, nil
}

// readHead reads the head of an answer, of at most maxHeadBytes; its body may be of any length.
func readHead(connection io.Reader, method string) (*http.Response, error) {
	limited := &io.LimitedReader{R: connection, N: maxHeadBytes}
	answer, err := http.ReadResponse(bufio.NewReader(limited), &http.Request{Method: method})
	if limited.N <= 0 {
		return nil, errors.Newf("head exceeds the limit of %d bytes", maxHeadBytes)
	}
	limited.N = math.MaxInt64
	return answer, err
}

// IsClosedByPeer reports whether an error says that the peer closed or reset the connection before the answer was
// complete.
func IsClosedByPeer(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET)
}

// IsRefused reports whether an error says that nothing listens at the address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Answer returns the answer's status and header, and its body as a stream.
func (x *Exchange) Answer() *http.Response { return x.answer }

// Close closes the connection, upon which most runners stop working on the request; it may be called more than once.
func (x *Exchange) Close() { x.close() }

// encode returns the bytes of the request as HTTP/1.1.
func (r Request) encode() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer does not fail, and the HTTP server has already refused header fields with line breaks.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// setAckTimeout makes the kernel close a connection whose peer acknowledges no data for ackTimeout.
func setAckTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optionErr)
}

// ReadAll reads the body of an answer into a reservation, or returns an Error of KindCut if it is incomplete, larger than maxBytes, or
// if the reservation does not allow as much.
func (x *Exchange) ReadAll(maxBytes int64, reservation *budgeter.Reservation) ([]byte, error) {
	body, err := reservation.ReadAll(x.answer.Body, x.answer.ContentLength, maxBytes)
	if err != nil {
		return nil, fault.New("read answer", KindCut, err)
	}
	return body, nil
}
