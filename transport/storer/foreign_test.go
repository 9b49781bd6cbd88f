package storer_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/transport/storer"
)

// TestLateAnswerIsNotTheNext guards against a second answer of the platform that arrives on a kept connection after the next call was sent
// there, and that is taken for what it says of another object.
func TestLateAnswerIsNotTheNext(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nEtag: \"7\"\r\nContent-Length: "
	g, err := garbler.New("", garbler.Text(head+"3\r\n\r\nown"), garbler.Late(head+"7\r\n\r\nforeign"))
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	s := storer.New(g.Address())
	for _, name := range []string{"one", "two", "three"} {
		if o, err := s.Get(t.Context(), object.KindClaim, name); err != nil || string(o.Value()) != "own" {
			t.Errorf("%s: %q, %v", name, o.Value(), err)
		}
	}
}
