package pacer_test

import (
	"context"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/pacer"
)

const (
	base = 18 * time.Millisecond
	gap  = 120 * time.Millisecond
)

// converge plays a service whose pause grows with open requests, with more callers than it has room for.
func converge(t *testing.T, perRequest time.Duration, floor float64) (float64, time.Duration) {
	t.Helper()
	p := pacer.New(pacer.Bounds{Floor: floor, Ceiling: 144, Gap: gap, Base: base})
	now := time.Duration(0)
	pause := base
	for range 600 {
		for p.HasRoom() {
			p = p.WithOpened()
		}
		for float64(p.Open()) > max(1, p.Limit()) {
			p = p.WithClosed()
		}
		pause = base + time.Duration(p.Open())*perRequest
		now += pause
		for range p.Open() {
			p = p.WithPause(pause, now)
		}
	}
	return p.Limit(), pause
}

func TestLimitFollowsPauses(t *testing.T) {
	for name, test := range map[string]struct {
		perRequest time.Duration
		floor      float64
		least      float64
		most       time.Duration
	}{
		"fast":             {300 * time.Microsecond, 10, 140, gap},
		"middling":         {time.Millisecond, 10, 55, gap},
		"slow":             {4 * time.Millisecond, 10, 14, gap},
		"floor is reached": {20 * time.Millisecond, 10, 10, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			limit, pause := converge(t, test.perRequest, test.floor)
			if limit < test.least || pause > test.most {
				t.Errorf("limit %g, pause %v", limit, pause)
			}
		})
	}
}

func TestGateLetsTheMostUrgentInFirst(t *testing.T) {
	g := pacer.NewGate(pacer.New(pacer.Bounds{Floor: 1, Ceiling: 1}))
	leave, ok := g.Enter(t.Context(), 1, 0)
	if !ok {
		t.Fatal("no room")
	}
	order := make(chan int, 2)
	for i, priority := range []int{3, 1} {
		go func() {
			done, ok := g.Enter(t.Context(), priority, 5*time.Second)
			if ok {
				order <- priority
				done()
			}
		}()
		for g.Waiting() != i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	leave()
	if first, second := <-order, <-order; first != 1 || second != 3 {
		t.Errorf("%d before %d", first, second)
	}
}

func TestGateGivesUpWaiting(t *testing.T) {
	g := pacer.NewGate(pacer.New(pacer.Bounds{Floor: 1, Ceiling: 1}))
	leave, _ := g.Enter(t.Context(), 1, 0)
	if _, ok := g.Enter(t.Context(), 1, 10*time.Millisecond); ok {
		t.Error("let in beyond the limit")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, ok := g.Enter(ctx, 1, time.Minute); ok || g.Waiting() != 0 {
		t.Error("a caller that left waits")
	}
	leave()
	leave()
	if g.Pace().Open() != 0 {
		t.Errorf("%d open", g.Pace().Open())
	}
}
