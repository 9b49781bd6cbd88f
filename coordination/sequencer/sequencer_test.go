package sequencer_test

import (
	"slices"
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/sequencer"
)

// TestNumbersBeginAnywhere guards against a stream whose first event is taken for none because of its number.
func TestNumbersBeginAnywhere(t *testing.T) {
	const forward, skip = sequencer.VerdictForward, sequencer.VerdictSkip
	for name, test := range map[string]struct {
		numbers []int64
		want    []sequencer.Verdict
		last    string
	}{
		"none":              {nil, nil, ""},
		"from 1":            {[]int64{1, 2}, []sequencer.Verdict{forward, forward}, "2"},
		"from 0, and again": {[]int64{0, 0, 1}, []sequencer.Verdict{forward, skip, forward}, "1"},
		"through 0":         {[]int64{-1, 0, -1, 0, 1}, []sequencer.Verdict{forward, forward, skip, skip, forward}, "1"},
		"from a later one":  {[]int64{7, 8, 7, 9}, []sequencer.Verdict{forward, forward, skip, forward}, "9"},
		"by three":          {[]int64{2, 5, 8, 5}, []sequencer.Verdict{forward, forward, forward, skip}, "8"},
		"by more and more":  {[]int64{1, 2, 4, 9}, []sequencer.Verdict{forward, forward, forward, forward}, "9"},
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

// TestRunThatGoesOnElsewhere guards against events that are missing between two runs, and against sound streams that are taken for torn as
// their numbers rise by more than one.
func TestRunThatGoesOnElsewhere(t *testing.T) {
	const forward, skip, gap = sequencer.VerdictForward, sequencer.VerdictSkip, sequencer.VerdictGap
	for name, test := range map[string]struct {
		runs [][]int64
		want []sequencer.Verdict
		last string
	}{
		"next":                         {[][]int64{{0, 1}, {2, 3}}, []sequencer.Verdict{forward, forward, forward, forward}, "3"},
		"one missing":                  {[][]int64{{0, 1}, {3}}, []sequencer.Verdict{forward, forward, gap}, "1"},
		"one missing after another":    {[][]int64{{0, 1}, {2}, {4}}, []sequencer.Verdict{forward, forward, forward, gap}, "2"},
		"missing, then there":          {[][]int64{{1, 2}, {4}, {3, 4}}, []sequencer.Verdict{forward, forward, gap, forward, forward}, "4"},
		"the last once more":           {[][]int64{{1, 2}, {2, 3}}, []sequencer.Verdict{forward, forward, skip, forward}, "3"},
		"the last, and one missing":    {[][]int64{{1, 2}, {2, 4}}, []sequencer.Verdict{forward, forward, skip, forward}, "4"},
		"by three":                     {[][]int64{{2, 5}, {8, 11}}, []sequencer.Verdict{forward, forward, forward, forward}, "11"},
		"by three, after the first":    {[][]int64{{2}, {5, 8}}, []sequencer.Verdict{forward, forward, forward}, "8"},
		"the first run ahead of it":    {[][]int64{{1, 2}, {}, {3}}, []sequencer.Verdict{forward, forward, forward}, "3"},
		"a later run that begins anew": {[][]int64{{1, 2}, {1, 2, 3}}, []sequencer.Verdict{forward, forward, skip, skip, forward}, "3"},
	} {
		t.Run(name, func(t *testing.T) {
			var p sequencer.Position
			var got []sequencer.Verdict
			for _, run := range test.runs {
				p = p.WithRun()
				for _, number := range run {
					var v sequencer.Verdict
					p, v = p.WithEvent(number)
					got = append(got, v)
				}
			}
			if !slices.Equal(got, test.want) || p.String() != test.last {
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
