package verifier_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/verifier"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 16 << 20
	// settleTime is enough for a writer to fill the buffers and for a packet to arrive.
	settleTime = 50 * time.Millisecond
	// answer is one whose end is that of the connection.
	answer = "HTTP/1.1 200 OK\r\n\r\nbody"
)

// connect returns a wrapped connection to a peer that does as told with the other end.
func connect(t *testing.T, peer func(*net.TCPConn)) *verifier.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		// The request has begun to arrive before the peer does anything.
		if _, err := c.Read(make([]byte, 1)); err == nil {
			peer(c.(*net.TCPConn))
		}
	}()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return verifier.Wrap(c)
}

// TestEndOfConnection guards against a reset that reads as the end of the connection, and against an end in order that counts as a reset,
// whether the request is written before the answer is read or beside that.
func TestEndOfConnection(t *testing.T) {
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	give := func(c *net.TCPConn) { _, _ = io.WriteString(c, answer) }
	for name, test := range map[string]struct {
		peer    func(*net.TCPConn)
		bytes   int
		isWhole bool
		// isRead is whether the peer reads the request, which else is never written in full.
		isRead bool
	}{
		"reset while the request is written": {func(c *net.TCPConn) { give(c); time.Sleep(settleTime); reset(c) }, uploadBytes, false, false},
		"closed with bytes unread":           {func(c *net.TCPConn) { give(c); time.Sleep(settleTime) }, uploadBytes, false, false},
		"reset after the request":            {func(c *net.TCPConn) { give(c); time.Sleep(settleTime); reset(c) }, 4, false, true},
		"ended in order, then reset": {func(c *net.TCPConn) {
			give(c)
			_ = c.CloseWrite()
			time.Sleep(settleTime)
			reset(c)
		}, uploadBytes, true, false},
		"ended in order, then read": {func(c *net.TCPConn) {
			give(c)
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, uploadBytes, true, true},
		"answered early, then read": {func(c *net.TCPConn) {
			give(c)
			time.Sleep(settleTime)
			_, _ = io.CopyN(io.Discard, c, uploadBytes-1)
		}, uploadBytes, true, true},
		"closed after the request": {func(c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, 3)
			give(c)
		}, 4, true, true},
	} {
		for _, isConcurrent := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				for range 10 {
					c := connect(t, test.peer)
					var writing sync.WaitGroup
					writing.Go(func() {
						if _, err := c.Write(make([]byte, test.bytes)); err != nil && test.isRead {
							t.Errorf("write: %v", err)
						}
					})
					if !isConcurrent {
						writing.Wait()
					}
					text, err := io.ReadAll(c)
					writing.Wait()
					if string(text) != answer || (err == nil) != test.isWhole {
						t.Errorf("%q, %v", text, err)
					}
					if err != nil && !errors.Is(err, syscall.ECONNRESET) {
						t.Errorf("cause of %v", err)
					}
				}
			})
		}
	}
}

// TestEndWhileTheRequestIsStillWritten guards against a read that waits for a writer which the peer may never let go on: an answer that
// ended in order is whole at once.
func TestEndWhileTheRequestIsStillWritten(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	c := connect(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, answer)
		_ = c.CloseWrite()
		<-ctx.Done()
	})
	var writing sync.WaitGroup
	writing.Go(func() { _, _ = c.Write(make([]byte, uploadBytes)) })
	read := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(c)
		read <- err
	}()
	select {
	case err := <-read:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the end is not read while the request is written")
	}
	stop()
	_ = c.Close()
	writing.Wait()
}

// TestLostPeer has the peer's kernel acknowledge nothing more: what the writer is told of that is no end of the answer either.
func TestLostPeer(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	c := verifier.Wrap(&failing{Conn: a})
	if _, err := c.Write([]byte("request")); !errors.Is(err, syscall.ETIMEDOUT) {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 8)); fault.KindOf[verifier.Kind](err) != verifier.KindReset {
		t.Errorf("got %v", err)
	}
}

// failing is a connection whose failure the first write is told of.
type failing struct{ net.Conn }

func (*failing) Write([]byte) (int, error) { return 0, syscall.ETIMEDOUT }
func (*failing) Read([]byte) (int, error)  { return 0, io.EOF }
