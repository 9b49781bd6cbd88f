package storer_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/transport/storer"
)

// TestResetWhileTheRequestIsWritten guards against a write that counts as done because the platform broke its answer off while the value
// was still being written.
func TestResetWhileTheRequestIsWritten(t *testing.T) {
	g, err := garbler.New("", garbler.Text("HTTP/1.1 200 OK\r\nEtag: \"7\"\r\n\r\n"), garbler.Reset())
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	s := storer.New(g.Address())
	for range 10 {
		o, err := s.Put(t.Context(), object.New(object.KindClaim, "one", object.Value(make([]byte, 12<<20))))
		if fault.KindOf[kingcupstile.Kind](err) != kingcupstile.KindUncertain {
			t.Errorf("version %d, %v", o.Version(), err)
		}
	}
}
