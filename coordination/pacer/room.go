package pacer

import (
	"math"
	"time"

	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// plainShare is how many requests may be open for each slot if answers are not streams: those beyond the slots wait at the runner,
// which queues a few and rejects more.
const plainShare = 2.0

// Unbounded returns the bounds for a service whose runners' room is asked for before each request, so that the entry
// needs no limit of its own; gap is as for BoundsFor.
func Unbounded(s routing.Service, runners []runner.Runner, gap time.Duration) Bounds {
	b := boundsOf(s, readyOf(runners), gap)
	b.Floor, b.Ceiling = math.MaxInt32, math.MaxInt32
	return b
}

// BoundsFor returns the bounds for a service at one of several entries, by the slots of its ready runners; gap is the
// longest gap between events that is in time, 0 for answers that are not streams. The limit starts at an even share of the slots and
// may grow to all of them, as callers may use only a few entries. It may shrink to an even share of one request at each runner, at
// which streams are as fast as they can be.
func BoundsFor(s routing.Service, runners []runner.Runner, entries int, gap time.Duration) Bounds {
	ready := readyOf(runners)
	slots := float64(ready.slots)
	if gap == 0 {
		return Bounds{Floor: plainShare * slots, Ceiling: plainShare * slots}
	}
	b, each := boundsOf(s, ready, gap), 1/float64(max(1, entries))
	b.Floor, b.Start, b.Ceiling = each*float64(ready.count), each*slots, slots
	return b
}

// readyRunners are the ready runners of a service and their slots.
type readyRunners struct{ count, slots int }

func readyOf(runners []runner.Runner) readyRunners {
	var ready readyRunners
	for _, r := range runners {
		if r.IsReady() {
			ready.count++
			ready.slots += r.Slots()
		}
	}
	return ready
}

// targetGap returns the mean gap between events to hold so that the longest is in time, given how long that may be: a pass that also
// reads prompts is longer. If it is too long whatever else is open, no limit helps it, and the target is that for all other passes.
func targetGap(e routing.Engine, longest time.Duration) time.Duration {
	if target := longest - e.ReadTime(); target > e.PassTime() {
		return target
	}
	return longest
}

// boundsOf returns the gaps of a service and the slots of each of its runners.
func boundsOf(s routing.Service, ready readyRunners, gap time.Duration) Bounds {
	e := s.Engine()
	return Bounds{
		TargetGap: targetGap(e, gap), MaxGap: gap, BaseGap: e.PassTime(), Slots: float64(ready.slots) / float64(max(1, ready.count)),
	}
}
