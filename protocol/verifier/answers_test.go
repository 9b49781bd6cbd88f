package verifier_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/kingcupstile/kingcupstile/protocol/verifier"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// scripted is a connection on which pieces arrive one after the other, and that takes all that is written.
type scripted struct {
	net.Conn
	pieces [][]byte
}

func (s *scripted) Write(p []byte) (int, error) { return len(p), nil }

func (s *scripted) Read(p []byte) (int, error) {
	if len(s.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.pieces[0])
	s.pieces = s.pieces[1:]
	return n, nil
}

// TestBytesAfterAnAnswer guards against bytes that follow a whole answer on its connection, and are taken for the answer to the next
// request: wherever they are split from it, they are not read, and nothing more is written.
func TestBytesAfterAnAnswer(t *testing.T) {
	const extra = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"
	for name, test := range map[string]struct {
		method, answer string
		hasEnd         bool
	}{
		"length":             {http.MethodPost, sound, true},
		"chunks":             {http.MethodPost, inChunks, true},
		"extension, trailer": {http.MethodPost, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4 ;a=b\r\nbody\r\n00\r\nX-Sum: 1\r\n\r\n", true},
		"line ends in a chunk": {
			http.MethodPost, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1F\r\n" + strings.Repeat("x\r\n", 10) + "x\r\n0\r\n\r\n", true,
		},
		"no body":      {http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
		"no content":   {http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", true},
		"not modified": {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", true},
		"of HEAD":      {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", true},
		"after an interim one": {
			http.MethodPost, "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" + sound, true,
		},
		"until the connection ends": {http.MethodPost, "HTTP/1.1 200 OK\r\n\r\nbody", false},
	} {
		t.Run(name, func(t *testing.T) {
			text := []byte(test.answer + extra)
			for cut := range text {
				c := verifier.Wrap(&scripted{pieces: [][]byte{bytes.Clone(text[:cut]), bytes.Clone(text[cut:])}})
				if _, err := c.Write([]byte(test.method + " / HTTP/1.1\r\n\r\n")); err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(c)
				if !test.hasEnd {
					if err != nil || !bytes.Equal(got, text) {
						t.Errorf("cut after %d: %q, %v", cut, got, err)
					}
					continue
				}
				if string(got) != test.answer || fault.KindOf[verifier.Kind](err) != verifier.KindUnasked {
					t.Errorf("cut after %d: %q, %v", cut, got, err)
				}
				if n, err := c.Write([]byte("next")); n > 0 || fault.KindOf[verifier.Kind](err) != verifier.KindUnasked {
					t.Errorf("cut after %d: %d bytes written, %v", cut, n, err)
				}
			}
		})
	}
}

// TestAnswersOnOneConnection guards against a boundary between two answers that is lost, wherever their bytes are split.
func TestAnswersOnOneConnection(t *testing.T) {
	for cut := range len(inChunks) {
		c := verifier.Wrap(&scripted{pieces: [][]byte{[]byte(sound), []byte(inChunks[:cut]), []byte(inChunks[cut:]), []byte(sound)}})
		for _, want := range []string{sound, inChunks, sound} {
			if _, err := c.Write([]byte("POST / HTTP/1.1\r\n\r\n")); err != nil {
				t.Fatal(err)
			}
			got := make([]byte, len(want))
			if _, err := io.ReadFull(c, got); err != nil || string(got) != want {
				t.Fatalf("cut after %d: %q, %v", cut, got, err)
			}
		}
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("cut after %d: %v", cut, err)
		}
	}
}

// TestForeignAnswersBesideMany has a server send a second answer after each, while many requests take over connections from one another.
func TestForeignAnswersBesideMany(t *testing.T) {
	const callers, calls = 16, 5
	texts := make([]string, callers*calls)
	for i := range texts {
		texts[i] = sound + strings.Replace(sound, "body", "else", 1)
	}
	address, _ := serve(t, "", texts...)
	client := &http.Client{Transport: verifier.New(&http.Transport{MaxIdleConnsPerHost: callers})}
	defer client.CloseIdleConnections()
	var group sync.WaitGroup
	var whole, foreign atomic.Int64
	for range callers {
		group.Go(func() {
			for range calls {
				switch text, err := post(t, client, address); {
				case err == nil && text == "body":
					whole.Add(1)
				case err == nil:
					foreign.Add(1)
				}
			}
		})
	}
	group.Wait()
	if foreign.Load() > 0 || whole.Load() == 0 {
		t.Errorf("%d answers to another request, %d to their own", foreign.Load(), whole.Load())
	}
}
