package engine

import (
	"context"

	"github.com/kingcupstile/kingcupstile/state/expert"
)

// Rank is the fake engine of one rank; it implements kingcupstile.Rank. The group's mu guards its fields.
type Rank struct {
	group            *Group
	status           expert.Status
	highestToken     uint64
	current          expert.Map
	staged           expert.Map
	loadAttemptsLeft int
	incoming         expert.Ballot
}

// Status returns the rank's status; the error is always nil.
func (r *Rank) Status(context.Context) (expert.Status, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.report(), nil
}

// Instruct executes an instruction of the process in the rank's slot and returns the status after it; the error is
// always nil. An instruction is ignored if it is for another incarnation, if the rank's state doesn't allow it, or if
// its fencing token is stale and RejectStaleTokens is on.
func (r *Rank) Instruct(_ context.Context, i expert.Instruction) (expert.Status, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if r.group.rejectsStaleTokens && i.Token < r.highestToken {
		r.group.rejectedInstructions++
		return r.report(), nil
	}
	if i.Incarnation == r.status.Incarnation {
		r.highestToken = max(r.highestToken, i.Token)
		r.execute(i)
		r.group.notify()
	}
	return r.report(), nil
}

// Restart simulates a restart of the engine: a new incarnation without the state of the one before.
func (r *Rank) Restart() {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.restart()
	r.group.notify()
}

func (r *Rank) restart() {
	next := r.status.Incarnation + 1
	*r = Rank{group: r.group, status: expert.Status{Incarnation: next, Started: !r.group.awaitsFirstMap}}
}

func (r *Rank) execute(i expert.Instruction) {
	s := &r.status
	switch i.Verb {
	case expert.VerbStart:
		if !s.Started {
			r.start(i.Record)
		}
	case expert.VerbStage:
		if r.isFree() && r.incoming != i.Proposal.Ballot {
			s.Staged, r.incoming, r.staged, r.loadAttemptsLeft = expert.Ballot{}, i.Proposal.Ballot, i.Map, r.group.loadAttempts
		}
	case expert.VerbPromise:
		if r.isFree() && s.Staged == i.Proposal.Ballot && r.group.step < i.Proposal.Step {
			s.Promise = i.Proposal
		}
	case expert.VerbCommit:
		if s.Promise == i.Proposal {
			s.Scheduled, s.Promise = i.Proposal, expert.Proposal{}
		}
	case expert.VerbAbort:
		if s.Promise == i.Proposal {
			s.Promise = expert.Proposal{}
		}
	}
}

// isFree reports whether the rank has started and no switch of its map is promised or scheduled.
func (r *Rank) isFree() bool {
	return r.status.Started && r.status.Promise.IsZero() && r.status.Scheduled.IsZero()
}

// start puts the record's map for the group's next step in use, and schedules the switch to the record's current map if
// that takes effect at a later step.
func (r *Rank) start(record expert.Record) {
	r.status.Started = true
	if current := record.Current(); r.group.step < current.Proposal.Step {
		r.status.Scheduled, r.staged = current.Proposal, current.Map
	}
	entry := record.At(r.group.step)
	r.status.Version, r.current = entry.Proposal.Version, entry.Map
}

// advanceLoad counts one attempt at a step towards loading the incoming map, and stages it once enough were made.
func (r *Rank) advanceLoad() {
	if r.loadAttemptsLeft > 0 {
		r.loadAttemptsLeft--
	}
	if r.loadAttemptsLeft == 0 && !r.incoming.IsZero() {
		r.status.Staged = r.incoming
	}
}

// isWaiting reports whether the rank has reached the step of its promise and blocks until it knows the decision.
func (r *Rank) isWaiting() bool {
	return !r.status.Promise.IsZero() && r.group.step >= r.status.Promise.Step
}

// switchOver puts the scheduled map in use if its step has come.
func (r *Rank) switchOver() {
	p := r.status.Scheduled
	if p.IsZero() || r.group.step < p.Step {
		return
	}
	r.current, r.status.Version = r.staged, p.Version
	r.status.Scheduled, r.status.Staged, r.incoming = expert.Proposal{}, expert.Ballot{}, expert.Ballot{}
}

func (r *Rank) report() expert.Status {
	s := r.status
	s.Step, s.Waiting = r.group.step, r.isWaiting()
	return s
}
