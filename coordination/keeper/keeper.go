package keeper

import (
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/admitter"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/ledger"
)

// KindLeaving is the kind of refusal of an endpoint that is draining.
const KindLeaving ledger.Kind = "leaving"

// The kinds of refusal that come from the admission queue.
const (
	KindOverload  = ledger.Kind(admitter.ReasonOverload)
	KindIsolating = ledger.Kind(admitter.ReasonIsolating)
)

// State is the immutable control state of an endpoint process.
type State struct {
	ledger  ledger.Ledger
	leaving bool
	queue   admitter.Queue
}

// Option sets a field of a State under construction.
type Option func(*State)

// Queue sets the admission queue.
func Queue(q admitter.Queue) Option { return func(s *State) { s.queue = q } }

// New returns the initial state of an incarnation, with its ledger.
func New(l ledger.Ledger, options ...Option) State {
	s := State{ledger: l, queue: admitter.New()}
	for _, option := range options {
		option(&s)
	}
	return s
}

// Ledger returns the record of attempts that this incarnation admitted or refused.
func (s State) Ledger() ledger.Ledger { return s.ledger }

// IsLeaving reports whether the endpoint is draining: it admits no new attempts.
func (s State) IsLeaving() bool { return s.leaving }

// Running returns the number of running attempts.
func (s State) Running() int { return s.queue.Running() }

// Queue returns the admission queue of running and waiting attempts.
func (s State) Queue() admitter.Queue { return s.queue }

// Incarnation returns the identifier of this run of the endpoint process.
func (s State) Incarnation() attempt.Incarnation { return s.ledger.Incarnation() }

// Step returns the state after an event, and the effects to carry out in order.
func Step(s State, event Event) (State, []Effect) {
	switch e := event.(type) {
	case Admit:
		return s.admit(e)
	case Finish:
		s.ledger = s.ledger.WithState(e.Identity, ledger.StateFinished)
		queue, decisions := s.queue.WithFinished(e.Sample, e.At)
		s.queue = queue
		return s.apply(decisions, e.At)
	case RollBack:
		s.ledger = s.ledger.WithRolledBack(e.Attempt)
		queue, decisions := s.queue.WithStartAborted(e.At)
		s.queue = queue
		return s.apply(decisions, e.At)
	case Tombstone:
		return s.tombstone(e)
	case Drain:
		s.leaving = true
		return s, []Effect{SignalDrained(e)}
	case Tick:
		queue, decisions := s.queue.WithTime(e.At)
		s.queue = queue
		s, effects := s.apply(decisions, e.At)
		s.ledger = s.ledger.WithoutExpired(e.At)
		return s, append(effects, ReleaseExpired(e))
	}
	return s, nil
}

// admit starts, queues or refuses an attempt. The ledger is asked first, even while draining, so that an attempt that
// was admitted before can still follow its answer.
func (s State) admit(e Admit) (State, []Effect) {
	identity := e.Attempt.Identity()
	next, err := s.ledger.WithAdmitted(e.Attempt, e.At)
	if err != nil {
		s.ledger = next
		return s, []Effect{Refuse{Verdict: Verdict{Kind: fault.KindOf[ledger.Kind](err), Identity: identity}, Reply: e.Reply}}
	}
	if s.leaving {
		return s, []Effect{Refuse{Verdict: Verdict{Kind: KindLeaving, Identity: identity}, Reply: e.Reply}}
	}
	queue, decisions := s.queue.WithOffered(e.Attempt, e.At)
	s.queue = queue
	d := decisions[0]
	if d.Action == admitter.ActionRefuse {
		s.ledger = next.WithRolledBack(e.Attempt)
		return s, []Effect{Refuse{Verdict: Verdict{Kind: ledger.Kind(d.Reason), Identity: identity, RetryAfter: d.RetryAfter}, Reply: e.Reply}}
	}
	s.ledger = next
	verdict := Verdict{Admitted: true, Identity: identity}
	if d.Action == admitter.ActionStart {
		s.ledger = s.ledger.WithState(identity, ledger.StateStarted)
		return s, []Effect{Start{Attempt: e.Attempt, Verdict: verdict, Reply: e.Reply}}
	}
	s, effects := s.apply(decisions[1:], e.At)
	return s, append([]Effect{Enqueue{Attempt: e.Attempt, Verdict: verdict, Reply: e.Reply}}, effects...)
}

// tombstone records that an attempt must never start, and withdraws it if it is queued.
func (s State) tombstone(e Tombstone) (State, []Effect) {
	next, outcome := s.ledger.WithTombstone(e.Attempt)
	s.ledger = next
	effects := []Effect{ReplyOutcome{Outcome: outcome, Reply: e.Reply}}
	if outcome != attempt.OutcomeNotRun {
		return s, effects
	}
	queue, waited := s.queue.Without(e.Attempt.ID())
	s.queue = queue
	if waited {
		effects = append(effects, Withdraw{Attempt: e.Attempt, Verdict: Verdict{Kind: ledger.KindTombstone, Identity: e.Attempt.Identity()}})
	}
	return s, effects
}

// apply starts or withdraws queued attempts as the queue decided. An attempt that the ledger no longer holds as
// admitted is withdrawn instead of started, and its place goes to the next in the queue.
func (s State) apply(decisions []admitter.Decision, at time.Time) (State, []Effect) {
	var effects []Effect
	for len(decisions) > 0 {
		d := decisions[0]
		decisions = decisions[1:]
		verdict := Verdict{Kind: ledger.Kind(d.Reason), Identity: d.Attempt.Identity(), RetryAfter: d.RetryAfter}
		entry, found := s.ledger.Find(d.Attempt.Identity())
		waits := found && entry.Attempt() == d.Attempt.ID() && entry.State() == ledger.StateAdmitted
		switch {
		case d.Action == admitter.ActionStart && waits:
			s.ledger = s.ledger.WithState(entry.Identity(), ledger.StateStarted)
			effects = append(effects, StartQueued{Attempt: d.Attempt})
			continue
		case d.Action == admitter.ActionStart:
			verdict.Kind = ledger.KindExpired
			queue, more := s.queue.WithStartAborted(at)
			s.queue = queue
			decisions = append(decisions, more...)
		}
		s.ledger = s.ledger.WithRolledBack(d.Attempt)
		effects = append(effects, Withdraw{Attempt: d.Attempt, Verdict: verdict})
	}
	return s, effects
}
