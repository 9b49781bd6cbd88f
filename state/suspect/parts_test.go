package suspect_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const second = time.Second

// at returns the loss of a runner at a time in seconds.
func at(runner uint32, seconds float64) suspect.Loss {
	return suspect.Loss{Runner: runner, At: time.Duration(seconds * float64(second))}
}

// counts returns the strikes of parts 1 to n.
func counts(p suspect.Parts, n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = p.Strikes(suspect.Part(i + 1)).Count
	}
	return list
}

func TestStrikes(t *testing.T) {
	type step struct {
		loss     suspect.Loss
		parts    []suspect.Part
		answered []suspect.Part
		at       float64
	}
	lost := func(l suspect.Loss, parts ...suspect.Part) step { return step{loss: l, parts: parts} }
	answered := func(at float64, parts ...suspect.Part) step { return step{answered: parts, at: at} }
	for name, test := range map[string]struct {
		steps []step
		want  []int
	}{
		"one loss counts against all that may explain it": {[]step{lost(at(1, 10), 1, 2)}, []int{1, 1}},
		"an answer after it clears a part":                {[]step{lost(at(1, 10), 1, 2), answered(11, 2)}, []int{1, 0}},
		"a part that was answered before explains it less": {
			[]step{lost(at(1, 10), 2), answered(9, 2), lost(at(1, 10), 1)}, []int{1, 0}},
		"known parts alone explain it":                {[]step{lost(at(1, 10), 2), answered(9, 2)}, []int{0, 1}},
		"the same loss told twice, a little later":    {[]step{lost(at(1, 10), 1), lost(at(1, 11), 1)}, []int{1}},
		"runners lost together are one incident":      {[]step{lost(at(1, 10), 1), lost(at(2, 10.5), 1)}, []int{1}},
		"the same start of a runner, told much later": {[]step{lost(at(1, 10), 1), lost(at(1, 14.6), 1)}, []int{1}},
		"another runner, or a later start":            {[]step{lost(at(1, 10), 1), lost(at(2, 14), 1)}, []int{2}},
		"the part of two incidents explains both":     {[]step{lost(at(1, 10), 1, 2), lost(at(2, 14), 1)}, []int{2, 0}},
		"two deadly parts, and a known one beside each": {
			[]step{lost(at(1, 10), 1, 3), answered(9, 3), lost(at(2, 14), 2, 3)}, []int{1, 1, 0}},
		"an answer between two losses of a part":           {[]step{lost(at(1, 10), 1), answered(12, 1), lost(at(2, 14), 1)}, []int{1}},
		"an answer to a part without evidence is no news":  {[]step{answered(5, 1)}, []int{0}},
		"an old report of an answer does not clear a loss": {[]step{lost(at(1, 10), 1), answered(9, 1)}, []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			var p suspect.Parts
			for _, s := range test.steps {
				p = p.WithLoss(s.loss, s.loss.At, s.parts...)
				p = p.WithAnswer(time.Duration(s.at*float64(second)), 20*second, s.answered...)
			}
			if diff := cmp.Diff(test.want, counts(p, len(test.want))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPartsMergeInAnyOrder has two processes exchange evidence: both come to the same verdicts, in whatever order and how
// often it arrives.
func TestPartsMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		var whole suspect.Parts
		const count = 12
		reports := make([]suspect.Evidence, 0, count)
		for range count {
			part, when := suspect.Part(1+r.IntN(4)), time.Duration(10+4*r.IntN(8))*second
			var own suspect.Parts
			own = own.WithLoss(suspect.Loss{Runner: uint32(r.IntN(3)), At: when}, when, part)
			if r.IntN(2) == 0 {
				own = own.WithAnswer(when-time.Duration(r.IntN(9)-4)*second, when, part)
			}
			e, _ := own.Find(part)
			reports = append(reports, e)
			whole = whole.WithEvidence(e, when)
		}
		var other suspect.Parts
		for range 2 {
			r.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
			for _, e := range reports {
				other = other.WithEvidence(e, 50*second)
			}
		}
		if diff := cmp.Diff(counts(whole, 4), counts(other, 4)); diff != "" {
			t.Errorf("seed %d: %s", seed, diff)
		}
	}
}

// TestPartsWithoutNumberAreBounded loses runners under ever new parts: the newest and those with the most strikes stay.
func TestPartsWithoutNumberAreBounded(t *testing.T) {
	var p suspect.Parts
	p = p.WithLoss(at(1, 1), second, 7).WithLoss(at(2, 5), 5*second, 7)
	for n := range suspect.Part(suspect.MaxParts + 100) {
		p = p.WithLoss(suspect.Loss{Runner: uint32(n), At: 10 * second}, 10*second+time.Duration(n), 1000+n)
	}
	if p.Len() != suspect.MaxParts || p.Strikes(7).Count != 2 || p.Strikes(1000+suspect.MaxParts+99).Count != 1 {
		t.Errorf("%d parts, strikes of the worst %+v", p.Len(), p.Strikes(7))
	}
	if !slices.Contains(p.Struck(), 7) {
		t.Error("the worst part is not listed")
	}
}
