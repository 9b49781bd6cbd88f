package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/localizer"
	"github.com/kingcupstile/kingcupstile/coordination/placer"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// twoCentres returns six runners in each of two data centres.
func twoCentres() []runner.Runner {
	const each = 6
	list := make([]runner.Runner, 0, 2*each)
	for i := range each {
		for _, centre := range []string{"x", "y"} {
			list = append(list, runner.New(fmt.Sprint(centre, i), "s", "h:1", runner.Slots(10), runner.Centre(centre)))
		}
	}
	return list
}

// counts returns how many runners of a list are in the two data centres.
func counts(list []runner.Runner) (x, y int) {
	for _, r := range list {
		if r.Centre() == "x" {
			x++
		} else {
			y++
		}
	}
	return x, y
}

// planFor returns the plan of an entry whose own data centre is full or has room, after some time.
func planFor(isFull bool) localizer.Plan {
	l := localizer.New("x", 20_000).WithAnswer(20_000).WithLinks([]localizer.Link{{Centre: "y"}})
	request := localizer.Request{Time: 8 * second, Interval: 50 * time.Millisecond}
	now := time.Duration(0)
	for range 50 {
		now += 50 * time.Millisecond
		request.Since, request.LatestStart = now, now+second
		l = l.WithRequest(request, now)
		l = l.WithProbe("x", func(int) bool { return !isFull }, now).WithProbe("y", func(int) bool { return true }, now)
	}
	return l.Plan(request, now)
}

// TestSampleWithoutPlan guards against other probes for deployments that give no cost: three in the own data centre and one in any.
func TestSampleWithoutPlan(t *testing.T) {
	away := 0
	for range 400 {
		x, y := counts(placer.Sample(twoCentres(), placer.Request{Centre: "x"}))
		if x+y != 4 || y > 1 {
			t.Fatalf("%d and %d probes", x, y)
		}
		away += y
	}
	// Six of the nine runners that are left are in the other data centre.
	if away < 220 || away > 310 {
		t.Errorf("%d of 400 fourth probes went to the other data centre", away)
	}
}

// TestSampleByPlan guards against probes that find out nothing of the other data centre while there is room, against too few there while
// there is none, and against fewer than four where one data centre has not enough runners.
func TestSampleByPlan(t *testing.T) {
	for name, test := range map[string]struct {
		list []runner.Runner
		full bool
		x, y int
	}{
		"room in the own one":    {twoCentres(), false, 3, 1},
		"no room in the own one": {twoCentres(), true, 2, 2},
		"few in the own one":     {twoCentres()[1:4], false, 1, 2},
		"none elsewhere":         {runners(5), true, 4, 0},
		"none in the own one":    {runners(5, runner.Centre("y")), false, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			x, y := counts(placer.Sample(test.list, placer.Request{Centre: "x", Plan: planFor(test.full)}))
			if x != test.x || y != test.y {
				t.Errorf("%d probes in the own data centre and %d elsewhere, want %d and %d", x, y, test.x, test.y)
			}
		})
	}
}

// TestChooseByPlan guards against requests that leave although there is room in their own data centre or they are not to, and against ones
// that stay although they may leave, or although nothing answers in their own one.
func TestChooseByPlan(t *testing.T) {
	list := twoCentres()
	home, other := list[0], list[1]
	for name, test := range map[string]struct {
		probed  []placer.Probed
		full    bool
		want    string
		hasRoom bool
	}{
		"room in both":               {[]placer.Probed{{Runner: home, Open: 9}, {Runner: other, Open: 0}}, true, "x0", true},
		"it may leave":               {[]placer.Probed{{Runner: home, Open: 10}, {Runner: other, Open: 9}}, true, "y0", true},
		"it may not leave":           {[]placer.Probed{{Runner: home, Open: 10}, {Runner: other, Open: 0}}, false, "", false},
		"all full":                   {[]placer.Probed{{Runner: home, Open: 10}, {Runner: other, Open: 10}}, true, "", false},
		"only the other one is left": {[]placer.Probed{{Runner: other, Open: 0}}, false, "y0", true},
	} {
		t.Run(name, func(t *testing.T) {
			best, hasRoom, found := placer.NewTracker().View(nil, 0).Choose(test.probed, placer.Request{Centre: "x", Plan: planFor(test.full)},
				func(runner.Runner) int { return 10 })
			if !found || hasRoom != test.hasRoom || hasRoom && best.ID() != test.want {
				t.Errorf("got %q, room %t, found %t", best.ID(), hasRoom, found)
			}
		})
	}
}
