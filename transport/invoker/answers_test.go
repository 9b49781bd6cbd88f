package invoker_test

import (
	"net/http"
	"testing"

	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/invoker"
)

// run returns the body that an attempt gets of a garbler that answers with a text.
func run(t *testing.T, text string, options ...attempt.Option) (body string, err error) {
	t.Helper()
	g, err := garbler.New("", garbler.Text(text))
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	options = append(options, attempt.HTTP(http.MethodPost, "/", nil, []byte("order")))
	err = invoker.New(g.Address()).Run(t.Context(), attempt.New("r1", options...), func(f attempt.Frame) { body += string(f.Data()) })
	return body, err
}

// TestBrokenAnswers guards against bytes that are no answer of HTTP, or none that is whole, and count as one.
func TestBrokenAnswers(t *testing.T) {
	for _, a := range garbler.Broken() {
		for _, repeatable := range []bool{false, true} {
			t.Run(a.String(), func(t *testing.T) {
				body, err := run(t, a.Text, attempt.Repeatable(repeatable))
				if fault.KindOf[invoker.Kind](err) == "" {
					t.Errorf("%q, %v", body, err)
				}
			})
		}
	}
}

// TestSoundAnswers guards against whole answers that count as broken.
func TestSoundAnswers(t *testing.T) {
	for _, a := range garbler.Sound() {
		t.Run(a.String(), func(t *testing.T) {
			if body, err := run(t, a.Text); err != nil || body != `{"asOf":7,"entries":[]}` {
				t.Errorf("%q, %v", body, err)
			}
		})
	}
}
