package admitter

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// Action is what an endpoint does with an attempt.
type Action string

// The actions on an attempt: run it now, queue it, or refuse it, which also removes it from the queue.
const (
	ActionStart  Action = "start"
	ActionWait   Action = "wait"
	ActionRefuse Action = "refuse"
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
	Action  Action
	Attempt attempt.Attempt
	Reason  Reason
	// RetryAfter is how long the caller should wait before it retries a request refused for overload.
	RetryAfter time.Duration
}
