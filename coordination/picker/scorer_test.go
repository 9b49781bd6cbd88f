package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/counter"
	"github.com/kingcupstile/kingcupstile/coordination/picker"
	"github.com/kingcupstile/kingcupstile/state/pool"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// maxPickTime is the longest that a pick may take in the largest supported pool.
const maxPickTime = 2 * time.Microsecond

func name(i int) string { return fmt.Sprintf("draft-%d", i) }

// ready returns a pool of n ready endpoints, each with the number of other daemons' attempts that others returns.
func ready(n int, others func(i int) int) pool.Pool {
	endpoints := make([]roster.Endpoint, n)
	for i := range endpoints {
		report := roster.NewReport("first", time.Unix(1, 0), roster.Running(others(i)+2, 2))
		endpoints[i] = roster.NewEndpoint(roster.NewVM(name(i), roster.RoleEndpoint)).
			WithReport(report).WithState(roster.StateReady)
	}
	return pool.New(endpoints...)
}

func seeded() picker.Option { return picker.IntN(rand.New(rand.NewPCG(20261204, 8)).IntN) }

// shares picks endpoints for attempts that stay in flight and returns each endpoint's share of them.
func shares(p pool.Pool, c *counter.Counter, picks int, affinity func(i int) uint64) map[string]float64 {
	s := picker.New(c, seeded())
	got := map[string]float64{}
	for i := range picks {
		if e, ok := s.Pick(p, affinity(i), nil); ok {
			c.Open(e.Name())
			got[e.Name()] += 1 / float64(picks)
		}
	}
	return got
}

func none(int) uint64 { return 0 }

func TestPickAvoids(t *testing.T) {
	p := ready(3, func(int) int { return 0 })
	s := picker.New(counter.New(), seeded())
	for affinity := range uint64(50) {
		e, ok := s.Pick(p, affinity, []string{name(0), name(2)})
		if !ok || e.Name() != name(1) {
			t.Fatalf("picked %q, want the only endpoint not in avoid", e.Name())
		}
	}
	if e, ok := s.Pick(p, 7, []string{name(0), name(1), name(2)}); ok {
		t.Errorf("picked %q, which is in avoid", e.Name())
	}
	if _, ok := s.Pick(pool.Pool{}, 7, nil); ok {
		t.Error("picked an endpoint from an empty pool")
	}
}

func TestPickNeverLeaving(t *testing.T) {
	p := ready(5, func(int) int { return 0 })
	i, _ := p.Find(name(3))
	p = p.WithAt(i, p.At(i).WithState(roster.StateLeaving))
	got := shares(p, counter.New(), 1000, func(i int) uint64 { return uint64(i) })
	if got[name(3)] > 0 {
		t.Error("a leaving endpoint got new work")
	}
}

func TestAffinityIsBoundedByLoad(t *testing.T) {
	p := ready(12, func(int) int { return 0 })
	got := shares(p, counter.New(), 1200, func(int) uint64 { return 42 })
	most := 0.0
	for _, share := range got {
		most = max(most, share)
	}
	if most > 1.5/12 {
		t.Errorf("one endpoint got %.0f%% of one prefix's requests, want a bounded share", 100*most)
	}
	c := counter.New()
	s := picker.New(c, seeded())
	first, _ := s.Pick(p, 42, nil)
	for range 100 {
		if e, _ := s.Pick(p, 42, nil); e.Name() != first.Name() {
			t.Fatal("requests of one affinity went to several endpoints without load")
		}
	}
}

func TestWrongReportHasBoundedEffect(t *testing.T) {
	const n, picks = 12, 1200
	for test, reported := range map[string]int{"claims none": 0, "claims many": 10_000} {
		t.Run(test, func(t *testing.T) {
			p := ready(n, func(i int) int {
				if i == 0 {
					return reported
				}
				return 16
			})
			got := shares(p, counter.New(), picks, none)[name(0)]
			if got < 0.5/n || got > 2.0/n {
				t.Errorf("the endpoint with the wrong report gets %.1f times the mean", got*n)
			}
		})
	}
}

func TestFailingEndpointIsAvoided(t *testing.T) {
	p := ready(12, func(int) int { return 0 })
	c := counter.New()
	s := picker.New(c, seeded())
	failed := 0
	for range 1000 {
		e, _ := s.Pick(p, 0, nil)
		if e.Name() == name(0) {
			failed++
			c.Fail(name(0))
			continue
		}
		c.Open(e.Name())
	}
	if failed > 100/12 {
		t.Errorf("%d of 1000 requests went to an endpoint that fails at once", failed)
	}
	c.Succeed(name(0))
	if _, failures := c.Count(name(0)); failures != 0 {
		t.Errorf("%d failures remain after a success", failures)
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	p := ready(12_000, func(i int) int { return i % 7 })
	c := counter.New()
	for i := range 12_000 {
		c.Open(name(i))
	}
	s := picker.New(c)
	avoid := []string{name(5)}
	affinity := uint64(0)
	allocs := testing.AllocsPerRun(1000, func() {
		affinity++
		if _, ok := s.Pick(p, affinity, avoid); !ok {
			t.Fatal("nothing picked")
		}
	})
	if allocs != 0 {
		t.Errorf("%v allocations a pick", allocs)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 1_000, 12_000} {
		p := ready(n, func(i int) int { return i % 7 })
		c := counter.New()
		for i := range n {
			c.Open(name(i))
		}
		s := picker.New(c)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for i := uint64(0); b.Loop(); i++ {
				s.Pick(p, i, nil)
			}
			if each := b.Elapsed() / time.Duration(b.N); b.N > 1000 && each > maxPickTime {
				b.Errorf("%v a pick, want at most %v", each, maxPickTime)
			}
		})
	}
}
