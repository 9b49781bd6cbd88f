package storer_test

import (
	"strings"
	"testing"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/transport/storer"
)

// TestAnswerAboveTheLimit guards against the first bytes of an answer that is larger than what is read of one, and that count as the whole
// value.
func TestAnswerAboveTheLimit(t *testing.T) {
	const limit = 16 << 20
	for name, test := range map[string]struct {
		bytes int
		want  kingcupstile.Kind
	}{
		"at the limit": {limit, ""}, "above the limit": {limit + 1, kingcupstile.KindUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			g, err := garbler.New("", garbler.Text("HTTP/1.1 200 OK\r\nEtag: \"7\"\r\n\r\n"+strings.Repeat("x", test.bytes)))
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			o, err := storer.New(g.Address()).Get(t.Context(), object.KindClaim, "one")
			if fault.KindOf[kingcupstile.Kind](err) != test.want {
				t.Errorf("%d bytes, %v", len(o.Value()), err)
			}
		})
	}
}
