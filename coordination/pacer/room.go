package pacer

import (
	"math"
	"time"

	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	// floorShare is the share of all runners' slots, divided evenly among the entries, up to which no request is
	// refused: a refusal while fewer are in use gains nothing.
	floorShare = 0.5
	// plainShare is how many requests may be open for each slot if answers are not streams: those beyond the slots wait
	// at the runner.
	plainShare = 2.0
	// ceilingShare is the share of all slots that one entry may use: all of them, as callers may use only a few
	// entries.
	ceilingShare = 1.0
)

// Unbounded returns the bounds for a service whose runners' room is asked for before each request, so that the entry
// needs no limit of its own; gap is as for BoundsFor.
func Unbounded(s routing.Service, gap time.Duration) Bounds {
	e := s.Engine()
	return Bounds{Floor: math.MaxInt32, Ceiling: math.MaxInt32, MaxGap: gap, BaseGap: time.Duration(e.StepsPerPass) * e.StepTime}
}

// BoundsFor returns the bounds for a service at one of several entries, by the slots of its ready runners; gap is the
// longest gap between events that is in time, 0 for answers that are not streams.
func BoundsFor(s routing.Service, runners []runner.Runner, entries int, gap time.Duration) Bounds {
	slots := 0
	for _, r := range runners {
		if r.IsReady() {
			slots += r.Slots()
		}
	}
	if gap == 0 {
		return Bounds{Floor: plainShare * float64(slots), Ceiling: plainShare * float64(slots)}
	}
	e := s.Engine()
	return Bounds{
		Floor:   floorShare * float64(slots) / float64(max(1, entries)),
		Ceiling: ceilingShare * float64(slots),
		MaxGap:  gap,
		BaseGap: time.Duration(e.StepsPerPass) * e.StepTime,
	}
}
