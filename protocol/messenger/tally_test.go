package messenger_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// TestTallyKeepsProportions sends counts as a rank and as many ranks make them: each comes out within the noise of
// counting, and the message is small.
func TestTallyKeepsProportions(t *testing.T) {
	random := rand.New(rand.NewPCG(20261204, 1))
	for _, mean := range []float64{0, 17, 200, 3000, 1e7} {
		sent := rank.Counts{Epoch: 3, Counts: make([]uint64, 16*258)}
		highest := 0.0
		for i := range sent.Counts {
			sent.Counts[i] = uint64(mean * random.ExpFloat64())
			highest = max(highest, float64(sent.Counts[i]))
		}
		m, err := messenger.EncodeTally(sent, 5)
		if err != nil {
			t.Fatal(err)
		}
		got, ranks, err := messenger.DecodeTally(m)
		if err != nil || ranks != 5 || got.Epoch != 3 || len(got.Counts) != len(sent.Counts) {
			t.Fatalf("epoch %d, %d ranks, %d counts, %v", got.Epoch, ranks, len(got.Counts), err)
		}
		step := max(1, math.Sqrt(highest)/math.MaxUint8)
		for i, n := range sent.Counts {
			if off := math.Abs(float64(got.Counts[i]) - float64(n)); off > step*(2*math.Sqrt(float64(n))+2*step) {
				t.Fatalf("mean %g: %d came out as %d", mean, n, got.Counts[i])
			}
		}
		if len(m.GetRoots()) > len(sent.Counts)+64 {
			t.Errorf("mean %g: %d bytes", mean, len(m.GetRoots()))
		}
	}
}

func FuzzDecodeTally(f *testing.F) {
	f.Add([]byte{1, 2, 3}, uint32(0))
	f.Add([]byte{0x03, 0x00}, uint32(90))
	f.Fuzz(func(t *testing.T, roots []byte, shift uint32) {
		if c, _, err := messenger.DecodeTally(&wire.RankSum{Ranks: 1, Roots: roots, Shift: shift}); err == nil && len(c.Counts) > 1<<20 {
			t.Errorf("%d counts", len(c.Counts))
		}
	})
}
