package pacer_test

import (
	"context"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/pacer"
)

const (
	base   = 18 * time.Millisecond
	maxGap = 120 * time.Millisecond
)

// converge simulates a service whose gap between events grows with its open requests, under more demand than it admits,
// and returns the limit and the gap at the end.
func converge(t *testing.T, perRequest time.Duration, floor float64) (float64, time.Duration) {
	t.Helper()
	p := pacer.New(pacer.Bounds{Floor: floor, Ceiling: 144, MaxGap: maxGap, BaseGap: base})
	now := time.Duration(0)
	gap := base
	for range 600 {
		for p.HasRoom() {
			p = p.WithOpened()
		}
		for float64(p.Open()) > max(1, p.Limit()) {
			p = p.WithClosed()
		}
		gap = base + time.Duration(p.Open())*perRequest
		now += gap
		for range p.Open() {
			p = p.WithGap(gap, now)
		}
	}
	return p.Limit(), gap
}

func TestLimitFollowsGaps(t *testing.T) {
	for name, test := range map[string]struct {
		perRequest time.Duration
		floor      float64
		least      float64
		most       time.Duration
	}{
		"fast":             {300 * time.Microsecond, 10, 140, maxGap},
		"middling":         {time.Millisecond, 10, 55, maxGap},
		"slow":             {4 * time.Millisecond, 10, 14, maxGap},
		"floor is reached": {20 * time.Millisecond, 10, 10, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			limit, gap := converge(t, test.perRequest, test.floor)
			if limit < test.least || gap > test.most {
				t.Errorf("limit %g, gap %v", limit, gap)
			}
		})
	}
}

func TestGateAdmitsByPriority(t *testing.T) {
	g := pacer.NewGate(pacer.New(pacer.Bounds{Floor: 1, Ceiling: 1}))
	release, ok := g.Acquire(t.Context(), 1, 0)
	if !ok {
		t.Fatal("no room")
	}
	order := make(chan int, 2)
	for i, priority := range []int{3, 1} {
		go func() {
			done, ok := g.Acquire(t.Context(), priority, 5*time.Second)
			if ok {
				order <- priority
				done()
			}
		}()
		for g.Waiting() != i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	release()
	if first, second := <-order, <-order; first != 1 || second != 3 {
		t.Errorf("%d before %d", first, second)
	}
}

func TestGateStopsWaiting(t *testing.T) {
	g := pacer.NewGate(pacer.New(pacer.Bounds{Floor: 1, Ceiling: 1}))
	release, _ := g.Acquire(t.Context(), 1, 0)
	if _, ok := g.Acquire(t.Context(), 1, 10*time.Millisecond); ok {
		t.Error("admitted beyond the limit")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, ok := g.Acquire(ctx, 1, time.Minute); ok || g.Waiting() != 0 {
		t.Error("a request whose caller left is still queued")
	}
	release()
	release()
	if g.Pace().Open() != 0 {
		t.Errorf("%d open", g.Pace().Open())
	}
}
