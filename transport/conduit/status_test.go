package conduit_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/conduit"
)

// TestStatusLineThatIsNone guards against bytes that are no answer of HTTP, such as one with the status 000, and reach the caller as one.
func TestStatusLineThatIsNone(t *testing.T) {
	for _, line := range garbler.Lines() {
		t.Run(line, func(t *testing.T) {
			g, err := garbler.New(line)
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			x, err := conduit.Send(t.Context(), g.Address(), conduit.Request{Method: "GET", Target: "/", Host: "h"})
			if fault.KindOf[conduit.Kind](err) != conduit.KindCut {
				t.Errorf("got %v, %v", x, err)
			}
			if x != nil {
				x.Close()
			}
		})
	}
}
