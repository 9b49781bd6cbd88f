package admitter

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// Action is what an endpoint does with an attempt.
type Do string

// The actions on an attempt: run it now, queue it, or refuse it, which also removes it from the queue.
const (
	DoStart  Do = "start"
	DoWait   Do = "wait"
	DoRefuse Do = "refuse"
)

// Reason says why an attempt was refused; it is empty for the other actions.
type Reason string

// The reasons of a refusal.
const (
	// ReasonOverload refuses an attempt that would start too late, waited too long or has no place in the queue.
	ReasonOverload Reason = "overload"
	// ReasonIsolating refuses an attempt because another one runs alone on the endpoint, or is about to.
	ReasonIsolating Reason = "isolating"
)

// Decision is the action on one attempt.
type Decision struct {
	Do      Do
	Attempt attempt.Attempt
	Reason  Reason
	// RetryAfter is how long the caller should wait before it retries a request refused for overload.
	After time.Duration
}
