package conductor

import (
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/leveler"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Event is an input of Step. At, in the events that have it, is the time on the process's own clock.
type Event interface{ isEvent() }

// Tick drives all that depends on time: polling, timeouts and takeover.
type Tick struct{ At time.Duration }

// RunnersListed holds the addresses of the service's runners and the layout parameters of its engines. It answers
// ListRunners.
type RunnersListed struct {
	Runners []string
	Shape   Shape
}

// Shape describes how engines lay experts out, and what a change of the layout costs.
type Shape struct {
	// Sets is the number of expert sets, and Experts the number of experts in each.
	Sets, Experts int
	Bounds        leveler.Bounds
}

// ReportReceived holds a runner's report. It answers FetchReport and SendOrder.
type ReportReceived struct {
	Runner string
	Report rank.Report
	// VerifiedVersion is the prepared version whose copy was compared with the order, 0 for none.
	VerifiedVersion uint64
	At              time.Duration
}

// CallFailed says that a call to a runner failed or timed out. An order sent in the call may still be carried out.
type CallFailed struct {
	Runner string
	At     time.Duration
}

// HoldingsReceived holds the experts that a runner reports to hold. It answers FetchHoldings.
type HoldingsReceived struct {
	Runner   string
	Holdings rank.Holdings
	At       time.Duration
}

// CountsReceived holds a runner's expert counts. It answers FetchCounts.
type CountsReceived struct {
	Runner string
	Counts rank.Counts
	At     time.Duration
}

func (Tick) isEvent()             {}
func (RunnersListed) isEvent()    {}
func (ReportReceived) isEvent()   {}
func (CallFailed) isEvent()       {}
func (HoldingsReceived) isEvent() {}
func (CountsReceived) isEvent()   {}

// Effect is an action that the caller of Step carries out without blocking the control goroutine.
type Effect interface{ isEffect() }

// ListRunners requests the service's runners and the layout parameters of its engines. The answer is RunnersListed.
type ListRunners struct{}

// FetchReport requests a runner's report. The answer is ReportReceived or CallFailed.
type FetchReport struct{ Runner string }

// SendOrder sends a runner an order. The answer is ReportReceived, for a prepare order normally after the map is
// copied, or CallFailed.
type SendOrder struct {
	Runner string
	Order  rank.Order
	// Direct sends the order from this VM straight to the runner instead of through the endpoint process beside the
	// runner, so that no VM but this one has to stay up until the orders that follow are sent.
	Direct bool
}

// FetchHoldings requests the experts that a runner holds. The answer is HoldingsReceived or CallFailed.
type FetchHoldings struct{ Runner string }

// FetchCounts requests a runner's expert counts. The answer is CountsReceived, or none if the call fails.
type FetchCounts struct{ Runner string }

// Log reports a decision to the log. Args are alternating keys and values.
type Log struct {
	Message string
	Args    []any
}

func (ListRunners) isEffect()   {}
func (FetchReport) isEffect()   {}
func (SendOrder) isEffect()     {}
func (FetchHoldings) isEffect() {}
func (FetchCounts) isEffect()   {}
func (Log) isEffect()           {}
