package position_test

import (
	"testing"

	"github.com/kingcupstile/kingcupstile/state/position"
)

// TestEraGoesBeforeRevision guards against a revision that was given out twice and is taken for the same place.
func TestEraGoesBeforeRevision(t *testing.T) {
	for _, test := range []struct {
		p, q position.Position
		want int
	}{
		{position.New(0, 5), position.New(0, 5), 0},
		{position.New(0, 5), position.New(0, 6), -1},
		{position.New(1, 150), position.New(2, 120), -1},
		{position.New(2, 150), position.New(1, 150), 1},
		{position.New(3, 0), position.New(2, 1<<63), 1},
	} {
		if got := test.p.Compare(test.q); got != test.want || test.q.Compare(test.p) != -test.want {
			t.Errorf("%v against %v: %d, want %d", test.p, test.q, got, test.want)
		}
		if text, err := test.p.MarshalText(); err != nil || string(text) != test.p.String() {
			t.Errorf("%v is logged as %s, %v", test.p, text, err)
		}
		if got := test.p.IsBefore(test.q); got != (test.want < 0) {
			t.Errorf("%v is before %v: %t", test.p, test.q, got)
		}
		if latest := position.Max(test.p, test.q); latest.IsBefore(test.p) || latest.IsBefore(test.q) {
			t.Errorf("latest of %v and %v is %v", test.p, test.q, latest)
		}
	}
}
