package placer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/placer"
)

const second = time.Second

func TestRest(t *testing.T) {
	b := placer.NewTracker()
	b.RecordRest("r0", 4*second, 10*second)
	b.RecordRest("r0", second, 11*second)
	for at, want := range map[time.Duration]bool{10 * second: true, 13900 * time.Millisecond: true, 14 * second: false} {
		if got := slices.Contains(b.Resting(at), "r0"); got != want || b.Admit("r0", at) == want {
			t.Errorf("at %v: resting %t", at, got)
		}
	}
	if end := b.RestEnd("r0", 13*second); end != 14*second {
		t.Errorf("rest ends at %v", end)
	}
	if !b.Admit("r1", 10*second) {
		t.Error("another runner rests, too")
	}
}

// TestLongRestIsNotALoss has a runner ask for an hour: it gets two requests in that time, and is used again as soon as it
// answers one.
func TestLongRestIsNotALoss(t *testing.T) {
	b := placer.NewTracker()
	b.RecordRest("r0", time.Hour, 0)
	admitted := 0
	for at := time.Duration(0); at < time.Hour; at += second {
		if b.Admit("r0", at) {
			admitted++
		}
	}
	if admitted != 2 {
		t.Errorf("%d requests in an hour", admitted)
	}
	b.RecordRest("r1", time.Hour, 0)
	if !b.Admit("r1", 40*second) {
		t.Fatal("no request after a while")
	}
	b.ClearFailures("r1")
	if slices.Contains(b.Resting(41*second), "r1") {
		t.Error("still resting after it answered")
	}
	b.RecordRest("r2", 5*second, 0)
	b.ClearFailures("r2")
	if !slices.Contains(b.Resting(second), "r2") {
		t.Error("an answer to an earlier request ends a rest")
	}
}
