package ranker_test

import (
	"context"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/rank"
	"github.com/kingcupstile/kingcupstile/transport/ranker"
)

// stepping is a rank that has begun a pass.
type stepping struct{ kingcupstile.Worker }

func (stepping) Report(context.Context) (rank.Report, error) { return rank.Report{Step: 7}, nil }

// TestBrokenAnswers guards against an empty report in place of an answer of a sidecar that is none of HTTP, or that is not whole: the rank
// itself is asked instead.
func TestBrokenAnswers(t *testing.T) {
	for _, a := range garbler.BrokenEmpty() {
		t.Run(a.String(), func(t *testing.T) {
			g, err := garbler.New("", garbler.Text(a.Text))
			if err != nil {
				t.Fatal(err)
			}
			defer g.Close()
			if r, err := ranker.New(g.Address(), stepping{}, time.Second).Report(t.Context()); err != nil || r.Step != 7 || !r.IsLagged {
				t.Errorf("%+v, %v", r, err)
			}
		})
	}
}
