package invoker_test

import (
	"net/http"
	"testing"

	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/transport/invoker"
)

// TestResetWhileTheRequestIsWritten guards against an answer without length that a runner broke off by a reset and that counts as whole:
// the HTTP client writes and reads at once, and the kernel tells only one of the two of the reset.
func TestResetWhileTheRequestIsWritten(t *testing.T) {
	const tries = 20
	for name, text := range map[string]string{
		"no length":    "HTTP/1.1 200 OK\r\n\r\npart",
		"event stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n",
	} {
		for _, repeatable := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				g, err := garbler.New("", garbler.Text(text), garbler.Reset())
				if err != nil {
					t.Fatal(err)
				}
				defer g.Close()
				i := invoker.New(g.Address())
				whole := 0
				for range tries {
					a := attempt.New("r1", attempt.HTTP(http.MethodPost, "/", nil, make([]byte, 12<<20)), attempt.Repeatable(repeatable))
					if err := i.Run(t.Context(), a, func(attempt.Frame) {}); err == nil {
						whole++
					}
				}
				if whole > 0 {
					t.Errorf("%d of %d broken answers taken for whole", whole, tries)
				}
			})
		}
	}
}

// TestEarlyAnswer guards against sound answers that are taken for broken ones: of a runner that answers before it reads the request.
func TestEarlyAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\n\r\nwhole", "length": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"event stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			g, err := garbler.New("", garbler.Text(text), garbler.Early())
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			frames := 0
			a := attempt.New("r1", attempt.HTTP(http.MethodPost, "/", nil, make([]byte, 12<<20)))
			if err := invoker.New(g.Address()).Run(t.Context(), a, func(attempt.Frame) { frames++ }); err != nil || frames != 2 {
				t.Errorf("%d frames, %v", frames, err)
			}
		})
	}
}
