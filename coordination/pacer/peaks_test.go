package pacer_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/pacer"
)

// readingFleet is a fleet in whose group some rank reads prompts in each pass, which makes all passes longer.
type readingFleet struct {
	*fleet
	// least and most are how much longer reading makes a pass.
	least, most time.Duration
}

// run simulates passes under more demand than the group can serve, and returns the served requests a second and how many of the passes
// after the first ones were late.
func (f *readingFleet) run(passes int, perSecond float64) (rate float64, late int) {
	load := f.perOpen
	for i := range passes {
		reading := f.least + time.Duration(f.random.Float64()*float64(f.most-f.least))
		open := 0
		for _, n := range f.open {
			open += n
		}
		// The time of reading is spread over the open requests, by which the fleet counts the length of a pass.
		f.perOpen = load + time.Duration(float64(reading)*float64(len(f.open))/float64(max(1, open)))
		f.pass(perSecond, func() int { return f.random.IntN(len(f.levels)) })
		if i > passes/5 && f.gap > maxGap {
			late++
		}
	}
	f.perOpen = load
	return float64(f.arrived-f.refused) / f.now.Seconds(), late
}

// TestLevelUsesTheTimeThatReadingDoesNotTake replays the load of a large group, in which some rank reads a prompt in each pass: the mean
// gap already has what that takes, so that a target which leaves the time for it once more refuses requests for nothing. More requests
// must be served, and passes stay in time.
func TestLevelUsesTheTimeThatReadingDoesNotTake(t *testing.T) {
	const entries, runners, slots = 34, 72, 10
	perOpen := (maxGap - base) / slots
	run := func(longest time.Duration) (float64, int) {
		f := &readingFleet{fleet: newFleet(entries, runners, slots, perOpen), least: 5 * time.Millisecond, most: 20 * time.Millisecond}
		for i := range f.levels {
			f.levels[i] = f.levels[i].WithTarget(maxGap-50*time.Millisecond, base).WithMaxGap(longest)
		}
		return f.run(600, 1500)
	}
	before, _ := run(0)
	rate, late := run(maxGap)
	if rate < 1.05*before {
		t.Errorf("%.0f served a second, %.0f with the target for an idle group", rate, before)
	}
	if late > 600/100 {
		t.Errorf("%d of 600 passes were late", late)
	}
}

// TestPeaks checks what is known of the longest gaps: nothing at first, stalls are left out, and one long gap counts for a few seconds.
func TestPeaks(t *testing.T) {
	const ms = time.Millisecond
	var p pacer.Peaks
	now := time.Duration(0)
	add := func(gap, span time.Duration) {
		for end := now + span; now < end; now += gap {
			p = p.WithGap(gap, now)
		}
	}
	add(60*ms, time.Second)
	if _, known := p.Margin(); known {
		t.Error("a margin is known after a second")
	}
	add(60*ms, 3*time.Second)
	p = p.WithGap(2*time.Second, now)
	if margin, known := p.Margin(); !known || margin > ms {
		t.Errorf("margin %v, %t after equal gaps and a stall", margin, known)
	}
	p = p.WithGap(100*ms, now)
	add(60*ms, 1900*ms)
	if margin, _ := p.Margin(); margin < 40*ms {
		t.Errorf("margin %v less than 2 s after a gap of 100 ms", margin)
	}
	add(60*ms, 4*time.Second)
	if margin, _ := p.Margin(); margin > 10*ms {
		t.Errorf("margin %v more than 4 s after it", margin)
	}
}
