package messenger

import (
	"bytes"
	"compress/flate"
	"io"
	"math"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// maxTallyCounts bounds the counts in one message.
const maxTallyCounts = 1 << 20

// EncodeTally returns the message for the counts that some ranks made since they were last asked. Counts are rounded to
// squares: their own noise is larger than that.
func EncodeTally(c rank.Counts, ranks int) (*wire.RankSum, error) {
	highest := uint64(0)
	for _, n := range c.Counts {
		highest = max(highest, n)
	}
	shift := uint32(0)
	for highest>>shift > math.MaxUint8*math.MaxUint8 {
		shift++
	}
	roots := make([]byte, len(c.Counts))
	for i, n := range c.Counts {
		roots[i] = byte(math.Round(math.Sqrt(float64(n >> shift))))
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(roots)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, fault.New("encode counts", kingcupstile.KindInvalid, err)
	}
	return &wire.RankSum{Epoch: c.Epoch, Ranks: uint32(ranks), Roots: compressed.Bytes(), Shift: shift}, nil
}

// DecodeTally returns the counts in a message and of how many ranks they are, or an Error of kingcupstile.KindInvalid.
func DecodeTally(m *wire.RankSum) (rank.Counts, int, error) {
	source := flate.NewReader(bytes.NewReader(m.GetRoots()))
	roots, err := io.ReadAll(io.LimitReader(source, maxTallyCounts+1))
	if err != nil || len(roots) > maxTallyCounts {
		return rank.Counts{}, 0, fault.New("decode counts", kingcupstile.KindInvalid, err)
	}
	c := rank.Counts{Epoch: m.GetEpoch(), Counts: make([]uint64, len(roots))}
	for i, root := range roots {
		c.Counts[i] = uint64(root) * uint64(root) << min(m.GetShift(), math.MaxUint16)
	}
	return c, int(m.GetRanks()), nil
}
