package conduit_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/budgeter"
	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/conduit"
)

// uploadBytes is more than the buffers of a connection hold, so that a request of that size is still being written when the runner answers.
const uploadBytes = 12 << 20

// TestResetWhileTheRequestIsWritten guards against an answer that a runner broke off by a reset and that is taken for a whole one, as the
// kernel tells of the reset once only, to whoever writes.
func TestResetWhileTheRequestIsWritten(t *testing.T) {
	for name, test := range map[string]struct {
		text  string
		bytes int
		want  string
	}{
		"no length, long request":      {"HTTP/1.1 200 OK\r\n\r\npart", uploadBytes, ""},
		"no length, short request":     {"HTTP/1.1 200 OK\r\n\r\npart", 4, ""},
		"HTTP/1.0, long request":       {"HTTP/1.0 200 OK\r\n\r\npart", uploadBytes, ""},
		"chunks, long request":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", uploadBytes, ""},
		"length, long request":         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", uploadBytes, ""},
		"whole by length":              {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", uploadBytes, "body"},
		"whole by chunks":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", uploadBytes, "body"},
		"whole by length, short":       {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 4, "body"},
		"half a head, long request":    {"HTTP/1.1 200 OK\r\nContent-Le", uploadBytes, ""},
		"no bytes, long request":       {"", uploadBytes, ""},
		"event stream, long request":   {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n", uploadBytes, ""},
		"unfinished head line, closed": {"HTTP/1.1 200", uploadBytes, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g, err := garbler.New("", garbler.Text(test.text), garbler.Reset())
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			request := conduit.Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, test.bytes)}
			var body []byte
			x, err := conduit.Send(t.Context(), g.Address(), request)
			if err == nil {
				defer x.Close()
				body, err = x.ReadAll(1000, budgeter.New(1<<20).Begin())
			}
			if string(body) != test.want || (err == nil) != (test.want != "") {
				t.Errorf("%q, %v", body, err)
			}
			if err != nil && fault.KindOf[conduit.Kind](err) != conduit.KindCut {
				t.Errorf("kind of %v", err)
			}
		})
	}
}
