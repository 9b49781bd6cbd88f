package budgeter_test

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/kingcupstile/kingcupstile/coordination/budgeter"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

const memory = 8 << 20

func TestReadAll(t *testing.T) {
	for name, test := range map[string]struct {
		bytes, expected, most int64
		want                  budgeter.Kind
	}{
		"nothing":                 {0, 0, 10, ""},
		"as announced":            {100, 100, 1000, ""},
		"of unknown length":       {300 << 10, -1, 1 << 20, ""},
		"exactly the most":        {5000, -1, 5000, ""},
		"one more than the most":  {5001, -1, 5000, budgeter.KindTooLarge},
		"announced as too large":  {10, 5001, 5000, budgeter.KindTooLarge},
		"more than announced":     {9000, 10, 10000, ""},
		"more than the budget":    {4 << 20, -1, 16 << 20, budgeter.KindFull},
		"only announced as large": {10, 16 << 20, 32 << 20, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := budgeter.New(memory)
			reservation := r.Begin()
			body := bytes.Repeat([]byte("x"), int(test.bytes))
			got, err := reservation.ReadAll(iotest.HalfReader(bytes.NewReader(body)), test.expected, test.most)
			if fault.KindOf[budgeter.Kind](err) != test.want || err == nil && !bytes.Equal(got, body) {
				t.Errorf("%d bytes, %v", len(got), err)
			}
			if err == nil {
				reservation.Release()
			}
			if !r.Begin().Add(memory / 5) {
				t.Error("the budget is not whole afterwards")
			}
		})
	}
	reservation := budgeter.New(memory).Begin()
	_, err := reservation.ReadAll(iotest.TimeoutReader(strings.NewReader("xy")), 2, 10)
	if fault.KindOf[budgeter.Kind](err) != budgeter.KindReadFailed {
		t.Errorf("cut off: %v", err)
	}
}

// TestSmallReservationsBesideLargeOnes uses the budget for large ones up: small ones are still granted.
func TestSmallReservationsBesideLargeOnes(t *testing.T) {
	r := budgeter.New(memory)
	for r.Begin().Add(128 << 10) {
	}
	for n := range 8 {
		if !r.Begin().Add(4 << 10) {
			t.Fatalf("small reservation %d is refused", n)
		}
	}
}

// TestBudgetIsNeitherLostNorExceeded adds and removes at random, also after a release.
func TestBudgetIsNeitherLostNorExceeded(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := budgeter.New(memory)
		held := map[*budgeter.Reservation]int64{}
		total := int64(0)
		for range 2000 {
			n := r.Begin()
			for other := range held {
				if random.IntN(2) == 0 {
					n = other
					break
				}
			}
			switch more := random.Int64N(300 << 10); random.IntN(4) {
			case 0:
				n.Release()
				total -= held[n]
				delete(held, n)
				if n.Add(more) {
					t.Fatalf("seed %d: added after the release", seed)
				}
			case 1:
				less := min(more, held[n])
				n.Remove(less)
				held[n] -= less
				total -= less
			default:
				if n.Add(more) {
					held[n] += more
					total += more
				}
			}
			if total > memory/5+memory/8 {
				t.Fatalf("seed %d: %d bytes in all", seed, total)
			}
		}
		for n := range held {
			n.Release()
		}
		if !r.Begin().Add(memory / 5) {
			t.Errorf("seed %d: the budget is not whole", seed)
		}
	}
}
