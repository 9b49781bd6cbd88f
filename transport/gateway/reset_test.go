package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/kingcupstile/kingcupstile/standin/garbler"
)

// upload is more, in bytes, than the buffers of a connection hold.
const upload = 12 << 20

// uploadTo returns a deployment whose runners are a garbler and that accepts uploads.
func uploadTo(t *testing.T, g *garbler.Garbler) *deployment {
	t.Helper()
	d := newDeployment(t)
	d.configureWith(map[string]any{"limits": map[string]any{"maxBodyBytes": 2 * upload}})
	d.leadTo(g)
	return d
}

// TestResetWhileTheRequestIsWritten guards against a part of an answer that reaches a caller as a whole one: a runner answers a long upload
// at once, without a length, and resets the connection while the upload is still being written.
func TestResetWhileTheRequestIsWritten(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		want map[string]int
	}{
		"body": {
			"HTTP/1.1 200 OK\r\n" + garbler.Fields + "\r\nonly a part of the body",
			map[string]int{"/look/": http.StatusBadGateway, "/file/": http.StatusBadGateway},
		},
		"stream": {
			"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + garbler.Fields + "\r\n: none yet\n\n",
			map[string]int{"/draft/x": 0, "/draft/once/x": 0},
		},
		"stream with an event": {
			"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + garbler.Fields + "\r\n" + events(1, 1),
			map[string]int{"/draft/x": 0, "/draft/once/x": 0},
		},
		"whole by its length": {
			"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + garbler.Fields + "\r\nwhole",
			map[string]int{"/look/": http.StatusOK, "/file/": http.StatusOK},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, err := garbler.New("", garbler.Text(test.text), garbler.Reset(), garbler.Header(http.Header{"X-Server-Seal": {"seal"}}))
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			d := uploadTo(t, g)
			for path, want := range test.want {
				before := g.Runs()
				a := d.call(http.MethodPost, path, strings.Repeat("x", upload), nil)
				if want == http.StatusOK && (a.err != nil || a.status != want || a.body != "whole") {
					t.Errorf("%s: %+v", path, a)
				}
				// A stream of which something was passed on is cut off, so that its end is an error for the caller.
				if want != http.StatusOK && a.err == nil && a.status < http.StatusInternalServerError {
					t.Errorf("%s: an answer that was broken off looks whole: %+v", path, a)
				}
				if g.Runs() == before {
					t.Errorf("%s: no request reached the runner", path)
				}
			}
		})
	}
}

// TestEarlyAnswer guards against sound answers that are taken for broken ones: of a runner that answers before it reads the upload, and
// whose answer has no length and ends in order.
func TestEarlyAnswer(t *testing.T) {
	for name, test := range map[string]struct{ path, text, want string }{
		"body":   {"/file/", "HTTP/1.1 200 OK\r\n" + garbler.Fields + "\r\nwhole", "whole"},
		"length": {"/file/", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + garbler.Fields + "\r\nwhole", "whole"},
		"stream": {
			"/draft/once/x", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + garbler.Fields + "\r\n" + events(1, 2), events(1, 2),
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, err := garbler.New("", garbler.Text(test.text), garbler.Early(), garbler.Header(http.Header{"X-Server-Seal": {"seal"}}))
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			a := uploadTo(t, g).call(http.MethodPost, test.path, strings.Repeat("x", upload), nil)
			if a.err != nil || a.status != http.StatusOK || a.body != test.want {
				t.Errorf("got %+v", a)
			}
		})
	}
}
