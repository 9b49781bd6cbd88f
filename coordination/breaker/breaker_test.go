package breaker_test

import (
	"context"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/breaker"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

const ms = time.Millisecond

// loss is when a runner is lost in all tests.
const loss = 10 * time.Second

func lost() breaker.Breaker { return breaker.Breaker{}.WithLoss(loss) }

// report is what processes beside runners tell at a time after the loss.
type report struct {
	after time.Duration
	loads []rank.Load
}

// loads returns the load of one busy rank.
func loads(epoch, step uint64, formed bool) []rank.Load {
	return []rank.Load{{Open: 3, Epoch: epoch, Step: step, GroupOpen: formed}}
}

func TestReportsCloseTheBreaker(t *testing.T) {
	for name, test := range map[string]struct {
		reports []report
		isOpen  bool
	}{
		"none":                 {nil, true},
		"from before the loss": {[]report{{50 * ms, loads(1, 5, true)}, {100 * ms, loads(1, 7, true)}}, true},
		"passes go on":         {[]report{{250 * ms, loads(1, 5, true)}, {350 * ms, loads(1, 6, true)}}, false},
		"no passes":            {[]report{{250 * ms, loads(1, 5, true)}, {900 * ms, loads(1, 5, true)}}, true},
		"broken":               {[]report{{250 * ms, loads(1, 5, true)}, {1600 * ms, loads(1, 6, false)}}, true},
		"formed anew":          {[]report{{250 * ms, loads(1, 5, false)}, {3800 * ms, loads(2, 0, true)}}, false},
		"a late one":           {[]report{{250 * ms, loads(1, 5, false)}, {400 * ms, loads(1, 4, true)}}, true},
		"one rank behind the others": {
			[]report{{250 * ms, append(loads(1, 5, true), loads(1, 3, true)...)}, {400 * ms, loads(1, 5, true)}}, true},
		"no work that could go on":      {[]report{{400 * ms, []rank.Load{{Epoch: 1, GroupOpen: true}}}}, false},
		"nobody tells anything":         {[]report{{1100 * ms, nil}}, false},
		"nobody tells anything for now": {[]report{{900 * ms, nil}}, true},
		"down for ever":                 {[]report{{31 * time.Second, loads(1, 5, false)}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := lost()
			for _, r := range test.reports {
				b = b.WithLoads(r.loads, loss+r.after)
			}
			if b.IsOpen() != test.isOpen {
				t.Errorf("open %t", b.IsOpen())
			}
		})
	}
}

func TestEventClosesTheBreaker(t *testing.T) {
	if !lost().WithEvent(loss + 100*ms).IsOpen() {
		t.Error("closed by an event that was under way")
	}
	if lost().WithEvent(loss + 250*ms).IsOpen() {
		t.Error("not closed by a later event")
	}
}

// TestOldLossDoesNotOpen has another entry tell of a loss after the runners are back.
func TestOldLossDoesNotOpen(t *testing.T) {
	b := lost().WithEvent(loss + 4*time.Second)
	if b.WithLoss(loss + 3*time.Second).IsOpen() {
		t.Error("opened by a loss of the outage that is over")
	}
	if !b.WithLoss(loss + 5*time.Second).IsOpen() {
		t.Error("not opened by a later loss")
	}
}

// TestRemainingIsLearnt has an outage last 2 s: the next one is expected to last about as long, and longer once it is overdue.
func TestRemainingIsLearnt(t *testing.T) {
	if got := lost().Remaining(loss + time.Second); got != 2500*ms {
		t.Errorf("first outage: %v", got)
	}
	b := lost().WithEvent(loss + 2*time.Second).WithLoss(loss + 10*time.Second)
	for after, want := range map[time.Duration]time.Duration{0: 2 * time.Second, 1500 * ms: 500 * ms, 4 * time.Second: time.Second} {
		if got := b.Remaining(loss + 10*time.Second + after); got != want {
			t.Errorf("after %v: %v, want %v", after, got, want)
		}
	}
	if short := lost().WithEvent(loss + 250*ms).WithLoss(loss + time.Second); short.Remaining(loss+time.Second) != 3500*ms {
		t.Error("a false alarm counts as an outage")
	}
}

func TestSwitchWakesThoseWhoWait(t *testing.T) {
	s := breaker.NewSwitch()
	if !s.Wait(t.Context(), 0) {
		t.Error("waits for a closed breaker")
	}
	if !s.Update(func(b breaker.Breaker) breaker.Breaker { return b.WithLoss(loss) }) {
		t.Error("not opened")
	}
	if s.Wait(t.Context(), ms) {
		t.Error("does not wait for an open breaker")
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if s.Wait(ended, time.Hour) {
		t.Error("waits although its context has ended")
	}
	woken := make(chan bool, 1)
	go func() { woken <- s.Wait(t.Context(), 10*time.Second) }()
	s.Update(func(b breaker.Breaker) breaker.Breaker { return b.WithEvent(loss + time.Second) })
	if !<-woken {
		t.Error("not woken")
	}
}
