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

// TestEventWithoutANumberEndsResuming guards against a stream that begins anew after events without a number.
func TestEventWithoutANumberEndsResuming(t *testing.T) {
	var p sequencer.Position
	if p.HasBegun() || !p.IsResumable() {
		t.Errorf("a stream that has not begun: %+v", p)
	}
	p = p.WithUnnumbered()
	if !p.HasBegun() || p.IsResumable() {
		t.Errorf("after an event without a number: %+v", p)
	}
	p, verdict := p.WithEvent(4)
	if verdict != sequencer.VerdictForward || !p.IsResumable() || p.String() != "4" {
		t.Errorf("%s of the event 4: %+v", verdict, p)
	}
	p = p.WithUnnumbered()
	if p.IsResumable() || p.String() != "4" {
		t.Errorf("after another one without a number: %+v", p)
	}
	if next, verdict := p.WithEvent(4); verdict != sequencer.VerdictSkip || next.IsResumable() {
		t.Errorf("%s of the event 4 once more: %+v", verdict, next)
	}
}
