package conduit_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/budgeter"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/conduit"
)

// serve answers one connection with a head and then repeats some text until the client closes the connection. It returns
// its address and what receives the number of bytes sent.
func serve(t *testing.T, head, repeated string) (string, <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	sent := make(chan int, 1)
	go func() {
		connection, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}
		n, _ := io.WriteString(connection, head)
		text := []byte(strings.Repeat(repeated, 1+4096/max(1, len(repeated))))
		for repeated != "" {
			more, err := connection.Write(text)
			n += more
			if err != nil {
				break
			}
		}
		sent <- n
	}()
	return l.Addr().String(), sent
}

// TestEndlessHeads has runners send bytes without end that are no answer, or a head without an end: the request counts as
// cut, little is read, and the connection is closed.
func TestEndlessHeads(t *testing.T) {
	for name, test := range map[string]struct{ head, repeated string }{
		"no answer":         {"", "\x00garbage"},
		"one long line":     {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"many header lines": {"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
		"blank lines":       {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := serve(t, test.head, test.repeated)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			x, err := conduit.Send(t.Context(), address, conduit.Request{Method: "GET", Target: "/", Host: "h"})
			runtime.ReadMemStats(&after)
			if x != nil || fault.KindOf[conduit.Kind](err) != conduit.KindCut {
				t.Fatalf("got %v, %v", x, err)
			}
			if used := after.TotalAlloc - before.TotalAlloc; used > 4<<20 {
				t.Errorf("%d bytes allocated", used)
			}
			select {
			case <-sent:
			case <-time.After(10 * time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}

// TestEndlessBody reads an answer whose body never ends: up to the limit and no further.
func TestEndlessBody(t *testing.T) {
	address, sent := serve(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	x, err := conduit.Send(t.Context(), address, conduit.Request{Method: "GET", Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := x.ReadAll(1<<20, budgeter.New(64<<20).Begin()); fault.KindOf[conduit.Kind](err) != conduit.KindCut {
		t.Errorf("got %v", err)
	}
	x.Close()
	select {
	case <-sent:
	case <-time.After(10 * time.Second):
		t.Error("the connection stays open")
	}
}

// TestManyEndlessBodiesShareABudget reads several answers without end at once: together they take no more memory than the
// budget allows, and it is whole again afterwards.
func TestManyEndlessBodiesShareABudget(t *testing.T) {
	const memory, limit = 16 << 20, 1 << 30
	budget := budgeter.New(memory)
	var wait sync.WaitGroup
	for range 8 {
		address, _ := serve(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
		wait.Go(func() {
			x, err := conduit.Send(t.Context(), address, conduit.Request{Method: "GET", Target: "/", Host: "h"})
			if err != nil {
				t.Error(err)
				return
			}
			defer x.Close()
			reservation := budget.Begin()
			defer reservation.Release()
			if body, err := x.ReadAll(limit, reservation); fault.KindOf[conduit.Kind](err) != conduit.KindCut {
				t.Errorf("%d bytes, %v", len(body), err)
			}
		})
	}
	wait.Wait()
	if !budget.Begin().Add(memory / 5) {
		t.Error("the budget is not whole after all answers ended")
	}
}

// TestLongBodyAfterTheHead has a body that is longer than heads may be: the limit of heads does not apply to it.
func TestLongBodyAfterTheHead(t *testing.T) {
	body := strings.Repeat("y", 200<<10)
	address, _ := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 204800\r\n\r\n"+body, "")
	x, err := conduit.Send(t.Context(), address, conduit.Request{Method: "GET", Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	if got, err := x.ReadAll(1<<20, budgeter.New(64<<20).Begin()); err != nil || !bytes.Equal(got, []byte(body)) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// TestWithheldRequestIsNotWritten guards against bytes that reach a runner although the request must not be sent to it any more.
func TestWithheldRequestIsNotWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	received := make(chan int, 1)
	go func() {
		connection, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		n, _ := connection.Read(make([]byte, 64))
		received <- n
	}()
	x, err := conduit.Send(t.Context(), l.Addr().String(), conduit.Request{
		Method: "POST", Target: "/", Host: "h", MaySend: func() bool { return false },
	})
	if x != nil || fault.KindOf[conduit.Kind](err) != conduit.KindWithheld {
		t.Errorf("got %v, %v", x, err)
	}
	select {
	case n := <-received:
		if n > 0 {
			t.Errorf("the runner received %d bytes", n)
		}
	case <-time.After(10 * time.Second):
		t.Error("the connection stays open")
	}
}
