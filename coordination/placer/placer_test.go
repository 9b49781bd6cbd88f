package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/placer"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// none leaves no runner out.
func none(string) bool { return false }

func runners(n int, options ...runner.Option) []runner.Runner {
	list := make([]runner.Runner, n)
	for i := range list {
		list[i] = runner.New(fmt.Sprint("r", i), "s", "h:1", append([]runner.Option{runner.Slots(10), runner.Centre("x")}, options...)...)
	}
	return list
}

func TestPlaceTakesTheLeastLoaded(t *testing.T) {
	b := placer.NewTracker()
	b.Begin("r0", 0)
	beats := []peer.Heartbeat{{InFlight: map[uint32]peer.InFlight{runner.Key("r1"): {Requests: 2}}}}
	got, ok := b.View(beats, 0).Place(runners(3), placer.Request{Centre: "x"})
	if !ok || got.ID() != "r2" {
		t.Errorf("got %q, %t", got.ID(), ok)
	}
	got, _ = b.View(beats, 0).Place(runners(3), placer.Request{Centre: "x", Avoid: []string{"r2"}})
	if got.ID() != "r0" {
		t.Errorf("got %q", got.ID())
	}
}

func TestPlaceAvoidsFailedAndLeavingRunners(t *testing.T) {
	b := placer.NewTracker()
	b.RecordFailure("r0", 0)
	for range 20 {
		if got, _ := b.View(nil, 100*time.Millisecond).Place(runners(2), placer.Request{Centre: "x"}); got.ID() != "r1" {
			t.Fatalf("got %q after a failure", got.ID())
		}
	}
	triedAgain := false
	for range 50 {
		got, _ := b.View(nil, 30*time.Second).Place(runners(2), placer.Request{Centre: "x"})
		triedAgain = triedAgain || got.ID() == "r0"
	}
	if !triedAgain {
		t.Error("a runner that failed once is never tried again")
	}
	if _, ok := b.View(nil, 0).Place(runners(2, runner.InState(runner.StateLeaving)), placer.Request{}); ok {
		t.Error("a leaving runner got work")
	}
}

// TestManyEntriesDoNotHerd has 40 entries place requests at once, each by the same earlier heartbeats of the others:
// they must not all choose the same runners.
func TestManyEntriesDoNotHerd(t *testing.T) {
	const entries, each = 40, 3
	list := runners(63)
	beats := make([]peer.Heartbeat, entries-1)
	for i := range beats {
		beats[i].InFlight = map[uint32]peer.InFlight{runner.Key(fmt.Sprint("r", i)): {Requests: 4}}
	}
	got := map[string]int{}
	for range entries {
		b := placer.NewTracker()
		for range each {
			r, _ := b.View(beats, 0).Place(list, placer.Request{Centre: "x"})
			b.Begin(r.ID(), 0)
			got[r.ID()]++
		}
	}
	for id, n := range got {
		if n > 12 {
			t.Errorf("%s got %d of %d requests", id, n, entries*each)
		}
	}
}

func TestTrackerCounts(t *testing.T) {
	b := placer.NewTracker()
	read, done := b.Begin("r0", 100)
	if got := b.Snapshot(none)[runner.Key("r0")]; got != (peer.InFlight{Requests: 1, UnreadTokens: 100}) {
		t.Errorf("got %+v", got)
	}
	b.RecordAnswer("r0", 5)
	read()
	done()
	done()
	if len(b.Snapshot(none)) != 0 || b.LastAnswer("r0") != 0 {
		t.Errorf("got %+v after the request ended", b.Snapshot(none))
	}
}
