package storer_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/transport/storer"
)

// TestBrokenAnswers guards against bytes that are no answer of HTTP, or none that is whole, and count as what the platform said: whether a
// write took effect is not known.
func TestBrokenAnswers(t *testing.T) {
	for _, a := range garbler.Broken() {
		t.Run(a.String(), func(t *testing.T) {
			g, err := garbler.New("", garbler.Text(a.Text))
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			s := storer.New(g.Address())
			o, err := s.Get(t.Context(), object.KindClaim, "one")
			if fault.KindOf[kingcupstile.Kind](err) != kingcupstile.KindUnavailable {
				t.Errorf("read: %q, %v", o.Value(), err)
			}
			_, err = s.Put(t.Context(), object.New(object.KindClaim, "one"))
			if fault.KindOf[kingcupstile.Kind](err) != kingcupstile.KindUncertain {
				t.Errorf("write: %v", err)
			}
		})
	}
}

// TestSoundAnswers guards against whole answers that count as broken.
func TestSoundAnswers(t *testing.T) {
	for _, a := range garbler.Sound() {
		t.Run(a.String(), func(t *testing.T) {
			g, err := garbler.New("", garbler.Text(a.Text))
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			o, err := storer.New(g.Address()).Get(t.Context(), object.KindClaim, "one")
			if err != nil || string(o.Value()) != `{"asOf":7,"entries":[]}` {
				t.Errorf("%q, %v", o.Value(), err)
			}
		})
	}
}
