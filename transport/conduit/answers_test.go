package conduit_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/budgeter"
	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/conduit"
)

// read returns the body of the answer that a garbler gives with a text.
func read(t *testing.T, text string) (string, error) {
	t.Helper()
	g, err := garbler.New("", garbler.Text(text))
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	x, err := conduit.Send(t.Context(), g.Address(), conduit.Request{Method: "POST", Target: "/", Host: "h", Body: []byte("order")})
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := x.ReadAll(1000, budgeter.New(1<<20).Begin())
	return string(body), err
}

// TestBrokenAnswers guards against bytes that are no answer of HTTP, or none that is whole, and count as one.
func TestBrokenAnswers(t *testing.T) {
	for _, a := range garbler.Broken() {
		t.Run(a.String(), func(t *testing.T) {
			if body, err := read(t, a.Text); fault.KindOf[conduit.Kind](err) != conduit.KindCut {
				t.Errorf("%q, %v", body, err)
			}
		})
	}
}

// TestSoundAnswers guards against whole answers that count as broken.
func TestSoundAnswers(t *testing.T) {
	for _, a := range garbler.Sound() {
		t.Run(a.String(), func(t *testing.T) {
			if body, err := read(t, a.Text); err != nil || body != `{"asOf":7,"entries":[]}` {
				t.Errorf("%q, %v", body, err)
			}
		})
	}
}
