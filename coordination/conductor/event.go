package conductor

import (
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/leveler"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Event is something that the process beside a rank learns; At is when.
type Event interface{ isEvent() }

// Tick says that some time has passed.
type Tick struct{ At time.Duration }

// Ranked says which runners there are, by identifier, and how the service's engines work.
type Ranked struct {
	Runners []string
	Shape   Shape
}

// Shape is how experts are laid out and what a change of that costs.
type Shape struct {
	Sets, Experts int
	Bounds        leveler.Bounds
}

// Reported brings a runner's report, and the version that it was seen to hold as ordered, 0 for none.
type Reported struct {
	Runner string
	Report rank.Report
	Whole  uint64
	At     time.Duration
}

// Missed says that a runner did not report.
type Missed struct {
	Runner string
	At     time.Duration
}

// Verified brings what a runner holds.
type Verified struct {
	Runner   string
	Holdings rank.Holdings
	At       time.Duration
}

// Counted brings a runner's counts.
type Counted struct {
	Runner string
	Counts rank.Counts
	At     time.Duration
}

func (Tick) isEvent()     {}
func (Ranked) isEvent()   {}
func (Reported) isEvent() {}
func (Missed) isEvent()   {}
func (Verified) isEvent() {}
func (Counted) isEvent()  {}

// Effect is something to be done outside the control goroutine.
type Effect interface{ isEffect() }

// Learn asks which runners there are; the answer is Ranked.
type Learn struct{}

// Ask asks a runner for its report; the answer is Reported or Missed.
type Ask struct{ Runner string }

// Give gives a runner an order and sees to it; the answer is Reported, for a map once it is copied, or Missed.
type Give struct {
	Runner string
	Order  rank.Order
	// Direct says that the order goes from this VM to the runner, not by way of the process beside it, so that no VM but
	// this one has to last until it is followed by others.
	Direct bool
}

// Verify asks what a runner holds; the answer is Verified or Missed.
type Verify struct{ Runner string }

// Count asks a runner for its counts; the answer is Counted, if it comes.
type Count struct{ Runner string }

// Noted says what was decided, for the log.
type Noted struct {
	What    string
	Details []any
}

func (Learn) isEffect()  {}
func (Ask) isEffect()    {}
func (Give) isEffect()   {}
func (Verify) isEffect() {}
func (Count) isEffect()  {}
func (Noted) isEffect()  {}
