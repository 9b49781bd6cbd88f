package dialer_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/dialer"
)

// TestBrokenAnswers guards against a call or a stream that takes an answer of an endpoint process for one which is none of HTTP, or which
// is not whole.
func TestBrokenAnswers(t *testing.T) {
	for _, a := range garbler.BrokenEmpty() {
		t.Run(a.String(), func(t *testing.T) {
			g, err := garbler.New("", garbler.Text(a.Text))
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			d := dialer.New(func(string) (string, bool) { return g.Address(), true }, dialer.ReceiveTimeout(silence))
			outcome, err := d.Settle(t.Context(), newAttempt("r1", "first"))
			if fault.KindOf[kingcupstile.Kind](err) != kingcupstile.KindUncertain {
				t.Errorf("settle: %q, %v", outcome, err)
			}
			stream, err := d.Run(t.Context(), newAttempt("r1", "first", attempt.Repeatable(true)))
			if err != nil {
				return
			}
			defer func() { _ = stream.Close() }()
			if f, err := stream.Next(t.Context()); err == nil {
				t.Errorf("run: %v", f)
			}
		})
	}
}
