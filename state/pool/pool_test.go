package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/state/pool"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

func endpoints(n int) []roster.Endpoint {
	all := make([]roster.Endpoint, n)
	for i := range all {
		all[i] = roster.NewEndpoint(roster.NewVM(fmt.Sprintf("draft-%d", i), roster.RoleEndpoint)).WithState(roster.StateReady)
	}
	return all
}

func TestFind(t *testing.T) {
	for _, n := range []int{0, 1, 15, 16, 17, 100} {
		p := pool.New(endpoints(n)...)
		for _, e := range endpoints(n) {
			i, ok := p.Find(e.Name())
			if !ok || p.At(i).Name() != e.Name() {
				t.Errorf("%s is not found among %d endpoints", e.Name(), n)
			}
			if got := p.Successor(pool.Position(e.Name())); got != i {
				t.Errorf("the position of %s of %d leads to index %d, want %d", e.Name(), n, got, i)
			}
		}
		if _, ok := p.Find("other"); ok {
			t.Error("found an endpoint that is not in the pool")
		}
	}
}

func TestVersionsDoNotChange(t *testing.T) {
	const n = 40
	before := pool.New(endpoints(n)...)
	i, _ := before.Find("draft-7")
	loaded := before.WithAt(i, before.At(i).WithReport(roster.NewReport("first", time.Unix(1, 0), roster.Running(9, 1))))
	standings := make([]roster.State, n)
	standings[i] = roster.StateLeaving
	left := loaded.WithStates(standings)
	for name, test := range map[string]struct {
		pool   pool.Pool
		usable int
		others int
		mean   float64
	}{
		"before":    {before, n, 0, 0},
		"loaded":    {loaded, n, 8, 8.0 / n},
		"standings": {left, 0, 8, 0},
		"without":   {loaded.Without("draft-7", "draft-8"), n - 2, 0, 0},
	} {
		if got := test.pool.Usable(); got != test.usable {
			t.Errorf("%s: %d usable, want %d", name, got, test.usable)
		}
		if _, got := test.pool.MeanAttempts(); got != test.mean {
			t.Errorf("%s: mean of others %v, want %v", name, got, test.mean)
		}
		if j, ok := test.pool.Find("draft-7"); ok && test.pool.At(j).OtherAttempts() != test.others {
			t.Errorf("%s: others %d, want %d", name, test.pool.At(j).OtherAttempts(), test.others)
		}
	}
}
