package warmer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/warmer"
	"github.com/kingcupstile/kingcupstile/state/routing"
)

// TestLoadReturnsInSteps guards against a cold runner whose slots are all used at once, and against one that gets nothing.
func TestLoadReturnsInSteps(t *testing.T) {
	for _, test := range []struct {
		left  time.Duration
		slots int
		want  int
	}{
		{time.Hour, 10, 2}, {1<<63 - 1, 10, 2}, {3 * time.Second, 10, 2}, {2251 * time.Millisecond, 10, 2}, {2250 * time.Millisecond, 10, 4},
		{1500 * time.Millisecond, 10, 6}, {750 * time.Millisecond, 10, 8}, {1, 10, 8}, {0, 10, 10}, {-time.Second, 10, 10},
		{3 * time.Second, 1, 1}, {3 * time.Second, 4, 1}, {time.Second, 4, 2},
	} {
		if got := policy.Slots(test.slots, test.left); got != test.want {
			t.Errorf("%d of %d slots with %v left, want %d", got, test.slots, test.left, test.want)
		}
	}
	unknown := warmer.NewPolicy(routing.Cold{PerSecond: 17}, 1.5, 5)
	if got := unknown.Slots(10, time.Second); got != 2 {
		t.Errorf("%d of 10 slots where it is not known how long runners are cold", got)
	}
}

// TestBoundOfColdRunners covers the bound of the first customer, and odd settings of a service.
func TestBoundOfColdRunners(t *testing.T) {
	for _, test := range []struct {
		perSecond, overage, slack float64
		isOn                      bool
		bound, target             int
	}{
		{17, 1.5, 5, true, 30, 17},
		{17, 0, 5, false, 5, 5},
		{0, 1.5, 5, false, 5, 1},
		{17, 1, 0, true, 17, 17},
		{17, 0.5, 0, true, 8, 8},
		{0.2, 1.5, 0, true, 1, 1},
		{1e300, 1.5, 5, true, 1<<31 - 1, 1<<31 - 1},
	} {
		p := warmer.NewPolicy(routing.Cold{PerSecond: test.perSecond}, test.overage, test.slack)
		if p.IsOn() != test.isOn || p.Bound() != test.bound || p.Target() != test.target {
			t.Errorf("%+v: on %t, bound %d, target %d", test, p.IsOn(), p.Bound(), p.Target())
		}
	}
}

// TestColdRunnerGetsNothingFromTheTargetOn guards against requests to a cold runner that has got all it can bear, and against limits on
// warm runners.
func TestColdRunnerGetsNothingFromTheTargetOn(t *testing.T) {
	for _, test := range []struct {
		seen warmer.Seen
		want int
	}{
		{warmer.Seen{Left: 3 * time.Second}, 2},
		{warmer.Seen{Left: 3 * time.Second, Recent: 8, Draw: 0.999}, 1},
		{warmer.Seen{Left: 3 * time.Second, Recent: 16, Draw: 0.1}, 2},
		{warmer.Seen{Left: 3 * time.Second, Recent: 16, Draw: 0.2}, 0},
		{warmer.Seen{Left: 3 * time.Second, Recent: 17}, 0},
		{warmer.Seen{Left: 3 * time.Second, Recent: 400}, 0},
	} {
		if got := policy.Allowed(test.seen, slots); got != test.want {
			t.Errorf("%+v: %d allowed, want %d", test.seen, got, test.want)
		}
	}
	if got := policy.Allowed(warmer.Seen{Recent: 400}, slots); got < 1<<30 {
		t.Errorf("%d allowed at a warm runner", got)
	}
	if got := (warmer.Policy{}).Allowed(warmer.Seen{Left: time.Second, Recent: 400}, slots); got < 1<<30 {
		t.Errorf("%d allowed without limits", got)
	}
}

// TestSharesOfAllEntriesKeepToTheBound adds the shares of all entries for a runner for which nothing answers: they must not exceed what is
// left of the bound beside the target, or the target where nobody gets answers, and the same entries must not be left out everywhere.
func TestSharesOfAllEntriesKeepToTheBound(t *testing.T) {
	for _, count := range []int{1, 2, 12, 13, 14, 34, 1000} {
		names := make([]string, count)
		for n := range names {
			names[n] = fmt.Sprint("e-", n)
		}
		for othersMayGetAnswers, most := range map[bool]int{true: 13, false: 17} {
			given := map[string]int{}
			runners := 72
			if count > 34 {
				// The shares of many entries take long to add up.
				runners = 4
			}
			for n := range runners {
				sum := 0
				for _, e := range names {
					share := policy.Share(fmt.Sprint("r", n), e, names, othersMayGetAnswers)
					sum += share
					given[e] += share
				}
				if sum > most || sum < most/2 {
					t.Fatalf("%d entries send %d requests in a second to one runner, at most %d allowed", count, sum, most)
				}
			}
			if count <= 34 && len(given) < count {
				t.Errorf("%d of %d entries have a share", len(given), count)
			}
			for e, sum := range given {
				if sum == 0 && count <= 34 {
					t.Errorf("%s of %d entries has no share at any of 72 runners", e, count)
				}
			}
		}
	}
}

// TestBookForgetsRunnersThatAreGone guards against a book that grows with each start of a runner, and against one that forgets a runner
// that is cold.
func TestBookForgetsRunnersThatAreGone(t *testing.T) {
	b := warmer.Book{}
	for n := range 10_000 {
		now := time.Duration(n) * time.Second
		b = b.WithStatement(fmt.Sprint("r", n), 3*time.Second, now).WithSent(fmt.Sprint("r", n), now)
		if left := b.Left(fmt.Sprint("r", max(0, n-2)), now); left == 0 {
			t.Fatal("a cold runner was forgotten")
		}
	}
	if b.Len() > 100 {
		t.Errorf("%d runners are kept", b.Len())
	}
}

// TestWarmerReserves guards against an entry whose goroutines together send more than the limit.
func TestWarmerReserves(t *testing.T) {
	w := warmer.New()
	results := make(chan bool, 100)
	for range 100 {
		go func() { results <- w.Reserve("r", 17, time.Second) }()
	}
	sent := 0
	for range 100 {
		if <-results {
			sent++
		}
	}
	if sent != 17 {
		t.Errorf("%d requests may be sent, want 17", sent)
	}
	if w.Reserve("r", 17, 1900*time.Millisecond) || !w.Reserve("r", 17, 2001*time.Millisecond) {
		t.Error("the count is not that of the last second")
	}
	if !w.RecordSeen("r", true, 0) || w.RecordSeen("r", true, 0) || !w.RecordSeen("r", false, 0) || w.RecordSeen("r", false, 0) {
		t.Error("changes between cold and warm are not told once")
	}
}
