package pacer

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	// floorShare is the share of all places up to which nobody is refused: refusing while fewer are taken helps nobody.
	floorShare = 0.5
	// queueShare is how many requests of a plain service may be open for each of its places: those above wait at the runner.
	queueShare = 2.0
	// ceilingShare is how much of all places one entry may use, as callers may come to few of the entries.
	ceilingShare = 1.0
)

// Room returns the bounds of a service's open requests at one of several entries; gap is the longest pause between
// events that is in time, 0 for plain answers.
func Room(s routing.Service, runners []runner.Runner, entries int, gap time.Duration) Bounds {
	places := 0
	for _, r := range runners {
		if r.IsReady() {
			places += r.Slots()
		}
	}
	if gap == 0 {
		return Bounds{Floor: queueShare * float64(places), Ceiling: queueShare * float64(places)}
	}
	e := s.Engine()
	return Bounds{
		Floor:   floorShare * float64(places) / float64(max(1, entries)),
		Ceiling: ceilingShare * float64(places),
		Gap:     gap,
		Base:    time.Duration(e.Stride) * e.Step,
	}
}
