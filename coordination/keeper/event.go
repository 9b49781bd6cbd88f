package keeper

import (
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/admitter"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/ledger"
)

// Event is an input of Step.
type Event interface{ isEvent() }

// Verdict is the decision on an attempt: admitted, or refused with Kind. An attempt refused as a duplicate may follow
// the answer that is recorded under Identity.
type Verdict struct {
	Admitted bool
	Kind     ledger.Kind
	Identity string
	// RetryAfter is how long the caller should wait before it sends a refused request again, 0 if unknown.
	RetryAfter time.Duration
}

// Admit requests that an attempt be started or queued; Reply receives the verdict.
type Admit struct {
	Attempt attempt.Attempt
	At      time.Time
	Reply   chan<- Verdict
}

// Finish reports that an attempt ended, with a complete answer or without.
type Finish struct {
	Identity string
	Sample   admitter.Sample
	At       time.Time
}

// RollBack reports that nothing of a started attempt reached the runner, so that it did not run.
type RollBack struct {
	Attempt attempt.Attempt
	At      time.Time
}

// Tombstone requests that an attempt never be started; Reply receives the outcome that is certain after that.
type Tombstone struct {
	Attempt attempt.Attempt
	Reply   chan<- attempt.Outcome
}

// Drain requests that no further attempt be admitted; Done is closed once that is in force.
type Drain struct{ Done chan<- struct{} }

// Tick reports the time, so that queued attempts time out and expired entries of the ledger are removed.
type Tick struct{ At time.Time }

func (Admit) isEvent()     {}
func (Finish) isEvent()    {}
func (RollBack) isEvent()  {}
func (Tombstone) isEvent() {}
func (Drain) isEvent()     {}
func (Tick) isEvent()      {}

// Effect is an output of Step that the traffic side carries out.
type Effect interface{ isEffect() }

// Start runs an attempt and sends the verdict to Reply.
type Start struct {
	Attempt attempt.Attempt
	Verdict Verdict
	Reply   chan<- Verdict
}

// Enqueue sends the verdict of a queued attempt to Reply; StartQueued or Withdraw follows for the same attempt.
type Enqueue struct {
	Attempt attempt.Attempt
	Verdict Verdict
	Reply   chan<- Verdict
}

// StartQueued runs an attempt that was queued.
type StartQueued struct{ Attempt attempt.Attempt }

// Withdraw ends the answer of a queued attempt with a refusal, as it will never run.
type Withdraw struct {
	Attempt attempt.Attempt
	Verdict Verdict
}

// Refuse sends the verdict of an attempt that was not admitted to Reply.
type Refuse struct {
	Verdict Verdict
	Reply   chan<- Verdict
}

// ReplyOutcome sends the outcome of an attempt to Reply, in answer to Tombstone.
type ReplyOutcome struct {
	Outcome attempt.Outcome
	Reply   chan<- attempt.Outcome
}

// SignalDrained closes Done, in answer to Drain.
type SignalDrained struct{ Done chan<- struct{} }

// ReleaseExpired releases the recorded answers whose retention ended by At.
type ReleaseExpired struct{ At time.Time }

func (Start) isEffect()          {}
func (Enqueue) isEffect()        {}
func (StartQueued) isEffect()    {}
func (Withdraw) isEffect()       {}
func (Refuse) isEffect()         {}
func (ReplyOutcome) isEffect()   {}
func (SignalDrained) isEffect()  {}
func (ReleaseExpired) isEffect() {}
