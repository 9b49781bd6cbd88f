package storer_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/transport/storer"
)

// TestStatusLineThatIsNone guards against bytes that are no answer of HTTP and are taken for what the platform said: whether a write took
// effect is not known.
func TestStatusLineThatIsNone(t *testing.T) {
	for _, line := range garbler.Lines() {
		t.Run(line, func(t *testing.T) {
			g, err := garbler.New(line)
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			s := storer.New(g.Address())
			if _, err := s.Get(t.Context(), object.KindClaim, "one"); fault.KindOf[kingcupstile.Kind](err) != kingcupstile.KindUnavailable {
				t.Errorf("read: %v", err)
			}
			_, err = s.Put(t.Context(), object.New(object.KindClaim, "one"))
			if fault.KindOf[kingcupstile.Kind](err) != kingcupstile.KindUncertain {
				t.Errorf("write: %v", err)
			}
		})
	}
}
