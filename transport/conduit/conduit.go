package conduit

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies how far a request got that failed.
type Kind string

// The kinds of failure.
const (
	// KindUnsent says that nothing of the request was written.
	KindUnsent Kind = "unsent"
	// KindCut says that the request was written, at least in part, and no answer came.
	KindCut Kind = "cut"
)

// Error is a request that got no answer.
type Error = fault.Error[Kind]

const (
	// DialTimeout bounds how long a connection may take: a round trip is a few milliseconds, and a lost opening packet
	// is sent again after a second only.
	DialTimeout = 400 * time.Millisecond
	// ackTimeout is how long the peer's kernel may acknowledge nothing.
	ackTimeout = 1200 * time.Millisecond
)

// Request is what is sent.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Exchange is one request on its connection.
type Exchange struct {
	connection net.Conn
	answer     *http.Response
	close      func()
}

// Send opens a connection to an address, writes the request and reads the head of the answer; when ctx ends before
// Close, the connection is closed.
func Send(ctx context.Context, address string, r Request) (*Exchange, error) {
	dialer := net.Dialer{Timeout: DialTimeout, Control: setAckTimeout, KeepAlive: -1}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.New("dial", KindUnsent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	x := &Exchange{connection: connection, close: sync.OnceFunc(func() {
		stop()
		_ = connection.Close()
	})}
	if ctx.Err() != nil {
		x.close()
		return nil, fault.New("dial", KindUnsent, ctx.Err())
	}
	early := false
	if n, err := connection.Write(r.encode()); err != nil {
		if n == 0 {
			x.close()
			return nil, fault.New("write request", KindUnsent, err)
		}
		// A runner may answer before it has read all, and may have closed the connection after that.
		early = true
	}
	//nolint:bodyclose // closing the connection ends the body, which holds nothing else
	x.answer, err = http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: r.Method})
	if err == nil && x.answer.StatusCode < http.StatusOK {
		err = errors.Newf("informational answer %d", x.answer.StatusCode)
	}
	if err != nil {
		x.close()
		return nil, fault.New("read answer", KindCut, errors.Wrapf(err, "written whole: %t", !early))
	}
	return x, nil
}

// IsClosedByPeer reports whether an error says that the peer ended the connection before all that was due had come.
func IsClosedByPeer(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET)
}

// Answer returns the head of the answer, and its body as it comes.
func (x *Exchange) Answer() *http.Response { return x.answer }

// Close closes the connection, which makes most runners drop what they still do.
func (x *Exchange) Close() { x.close() }

// encode returns the request as it is written.
func (r Request) encode() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a buffer does not fail, and the server has refused header fields with line breaks.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// setAckTimeout has the kernel end a connection whose peer acknowledges nothing.
func setAckTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failure)
}

// ReadAll reads the whole body of an answer, or returns an Error of KindCut if it is not complete or larger than most bytes.
func (x *Exchange) ReadAll(most int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(x.answer.Body, most+1))
	if err != nil {
		return nil, fault.New("read answer", KindCut, err)
	}
	if int64(len(text)) > most {
		return nil, fault.Newf("read answer", KindCut, "over %d bytes", most)
	}
	return text, nil
}
