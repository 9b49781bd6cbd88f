package exchanger_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/exchanger"
)

// TestBrokenAnswers guards against an empty message in place of an answer of another entry that is none of HTTP, or that is not whole.
func TestBrokenAnswers(t *testing.T) {
	for _, a := range garbler.BrokenEmpty() {
		t.Run(a.String(), func(t *testing.T) {
			g, err := garbler.New("", garbler.Text(a.Text))
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			client := exchanger.New()
			defer client.Close()
			parts, err := client.Parts(t.Context(), g.Address(), []string{"one"})
			if fault.KindOf[kingcupstile.Kind](err) != kingcupstile.KindUnavailable {
				t.Errorf("%v, %v", parts, err)
			}
		})
	}
}
