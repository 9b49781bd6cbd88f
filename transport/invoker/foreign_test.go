package invoker_test

import (
	"net/http"
	"testing"

	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/transport/invoker"
)

// TestLateAnswerIsNotTheNext guards against a second answer of a runner that arrives on a kept connection after the next request was sent
// there, and that is taken for the answer to it.
func TestLateAnswerIsNotTheNext(t *testing.T) {
	const own, foreign = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"
	g, err := garbler.New("", garbler.Text(own), garbler.Late(foreign))
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	i := invoker.New(g.Address())
	for _, repeatable := range []bool{true, false, true} {
		text := ""
		a := attempt.New("r1", attempt.HTTP(http.MethodPost, "/", nil, []byte("order")), attempt.Repeatable(repeatable))
		if err := i.Run(t.Context(), a, func(f attempt.Frame) { text += string(f.Data()) }); err != nil || text != "own" {
			t.Errorf("%q, %v", text, err)
		}
	}
}
