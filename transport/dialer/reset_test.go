package dialer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/transport/dialer"
)

// TestResetWhileTheRequestIsWritten guards against a stream of frames that an endpoint process broke off and that counts as ended: the last
// frame says so itself, so that no other end is one.
func TestResetWhileTheRequestIsWritten(t *testing.T) {
	g, err := garbler.New("", garbler.Text("HTTP/1.1 200 OK\r\n\r\n"), garbler.Reset())
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	d := dialer.New(func(string) (string, bool) { return g.Address(), true }, dialer.ReceiveTimeout(5*time.Second))
	for range 5 {
		large := newAttempt("r1", "first", attempt.HTTP(http.MethodPost, "/", nil, make([]byte, 12<<20)), attempt.Repeatable(true))
		stream, err := d.Run(t.Context(), large)
		if err != nil {
			continue
		}
		if f, err := stream.Next(t.Context()); err == nil {
			t.Errorf("got a frame: %v", f)
		}
		_ = stream.Close()
	}
}
