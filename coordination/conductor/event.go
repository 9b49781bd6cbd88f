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

// Outcome says what became of an order.
type Outcome string

// The outcomes of an order. One that is not known to have begun may be carried out later.
const (
	OutcomeBegun   Outcome = "begun"
	OutcomeRefused Outcome = "refused"
	OutcomeUnknown Outcome = "unknown"
)

// ReportReceived holds a runner's report. It answers FetchReport and SendOrder.
type ReportReceived struct {
	Runner string
	Report rank.Report
	// Outcome is that of the order which it answers, empty if it answers none.
	Outcome Outcome
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

// AnswersReceived holds the answers of several runners at once. It answers FetchReports and SendOrders, of which each
// runner may be answered by another event.
type AnswersReceived struct {
	Reports []ReportReceived
	// Failed are the runners that gave no answer.
	Failed []string
	At     time.Duration
}

// DemandReceived holds how often the requests of some ranks chose each expert since the ranks were last asked, in the
// order of rank.Counts. It answers FetchDemand.
type DemandReceived struct {
	Epoch  uint64
	Counts []uint64
	At     time.Duration
}

// PlanComputed holds the plan of a layout, and whether it pays. It answers ComputePlan.
type PlanComputed struct {
	ID   uint64
	Plan leveler.Plan
	Pays bool
	At   time.Duration
}

func (Tick) isEvent()             {}
func (RunnersListed) isEvent()    {}
func (ReportReceived) isEvent()   {}
func (CallFailed) isEvent()       {}
func (HoldingsReceived) isEvent() {}
func (AnswersReceived) isEvent()  {}
func (DemandReceived) isEvent()   {}
func (PlanComputed) isEvent()     {}

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

// FetchReports requests the reports of several runners. The answers are AnswersReceived, in any number, or as of
// FetchReport.
type FetchReports struct{ Runners []string }

// SendOrders sends runners the same order, apart from the number of orders that each has taken. The answers are
// AnswersReceived, in any number, or as of SendOrder.
type SendOrders struct{ Orders []SendOrder }

// FetchHoldings requests the experts that a runner holds. The answer is HoldingsReceived or CallFailed.
type FetchHoldings struct{ Runner string }

// FetchDemand requests which experts the runners' requests chose since the last such request. The answers are
// DemandReceived, each for some of the runners; those of runners whose calls fail are left out.
type FetchDemand struct{ Runners []string }

// ComputePlan requests a plan for a layout, which may take long for a large group. The answer is PlanComputed.
type ComputePlan struct {
	ID      uint64
	Current rank.Layout
	Demand  leveler.Demand
	Bounds  leveler.Bounds
}

// Log reports a decision to the log. Args are alternating keys and values.
type Log struct {
	Message string
	Args    []any
}

func (ListRunners) isEffect()   {}
func (FetchReport) isEffect()   {}
func (SendOrder) isEffect()     {}
func (FetchHoldings) isEffect() {}
func (FetchReports) isEffect()  {}
func (SendOrders) isEffect()    {}
func (FetchDemand) isEffect()   {}
func (ComputePlan) isEffect()   {}
func (Log) isEffect()           {}
