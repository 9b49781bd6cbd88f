package invoker_test

import (
	"net/http"
	"testing"

	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/invoker"
)

// TestStatusLineThatIsNone guards against bytes that are no answer of HTTP, such as one with the status 000, and reach the caller as one:
// a head with the status 0 counts as none, so that the body would follow on the status 200.
func TestStatusLineThatIsNone(t *testing.T) {
	for _, line := range garbler.Lines() {
		t.Run(line, func(t *testing.T) {
			g, err := garbler.New(line)
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			var frames []attempt.Frame
			a := attempt.New("r1", attempt.HTTP(http.MethodPost, "/", nil, []byte("order")))
			err = invoker.New(g.Address()).Run(t.Context(), a, func(f attempt.Frame) { frames = append(frames, f) })
			if fault.KindOf[invoker.Kind](err) != invoker.KindNoResponse || len(frames) > 0 {
				t.Errorf("%d frames, %v", len(frames), err)
			}
		})
	}
}
