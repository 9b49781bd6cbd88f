package sequencer_test

import (
	"slices"
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/sequencer"
)

// TestNumbersBeginAnywhere guards against a stream whose first event is taken for none because of its number.
func TestNumbersBeginAnywhere(t *testing.T) {
	const forward, skip, gap = sequencer.VerdictForward, sequencer.VerdictSkip, sequencer.VerdictGap
	for name, test := range map[string]struct {
		numbers []int64
		want    []sequencer.Verdict
		last    string
	}{
		"none":                  {nil, nil, ""},
		"from 1":                {[]int64{1, 2}, []sequencer.Verdict{forward, forward}, "2"},
		"from 0, and again":     {[]int64{0, 0, 1}, []sequencer.Verdict{forward, skip, forward}, "1"},
		"from 0, with a gap":    {[]int64{0, 2}, []sequencer.Verdict{forward, gap}, "0"},
		"through 0":             {[]int64{-1, 0, -1, 0, 1}, []sequencer.Verdict{forward, forward, skip, skip, forward}, "1"},
		"from a later one":      {[]int64{7, 8, 7, 10, 9}, []sequencer.Verdict{forward, forward, skip, gap, forward}, "9"},
		"gap, then the missing": {[]int64{1, 3, 2}, []sequencer.Verdict{forward, gap, forward}, "2"},
	} {
		t.Run(name, func(t *testing.T) {
			var p sequencer.Position
			got := make([]sequencer.Verdict, 0, len(test.numbers))
			for _, number := range test.numbers {
				var v sequencer.Verdict
				p, v = p.WithEvent(number)
				got = append(got, v)
			}
			if _, isKnown := p.Number(); !slices.Equal(got, test.want) || p.String() != test.last || isKnown != (test.last != "") {
				t.Errorf("verdicts %v, last %q", got, p)
			}
		})
	}
}
