package ledger

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// DefaultLimit is the limit of each table of a ledger unless the option Limit sets another.
const DefaultLimit = 100_000

// Ledger is the record of one endpoint incarnation. Attempts with an idempotency key, which live for hours, and those
// without, which live as long as their request, have separate tables, so that neither kind takes the other's space or
// moves its horizon.
type Ledger struct {
	incarnation attempt.Incarnation
	keyed       table
	unkeyed     table
	limit       int
}

// Option sets a field of a Ledger under construction.
type Option func(*Ledger)

// Limit sets how many entries and tombstones each table holds before it refuses new attempts or evicts; tombstones for
// refused attempts may fill it up to twice the limit.
func Limit(n int) Option { return func(l *Ledger) { l.limit = n } }

// New returns the empty ledger of an incarnation.
func New(incarnation attempt.Incarnation, options ...Option) Ledger {
	l := Ledger{incarnation: incarnation, keyed: newTable(), unkeyed: newTable(), limit: DefaultLimit}
	for _, option := range options {
		option(&l)
	}
	return l
}

// Incarnation returns the incarnation whose attempts the ledger records.
func (l Ledger) Incarnation() attempt.Incarnation { return l.incarnation }

// Horizon returns the horizon of attempts with an idempotency key: those that expire at or before it are refused, as
// their entries may have been dropped.
func (l Ledger) Horizon() time.Time { return l.keyed.horizon }

// Len returns the number of entries and tombstones in both tables.
func (l Ledger) Len() int { return l.keyed.len() + l.unkeyed.len() }

// Find returns the entry of an identity.
func (l Ledger) Find(identity string) (Entry, bool) {
	if e, found := l.keyed.find(identity); found {
		return e, true
	}
	return l.unkeyed.find(identity)
}

// WithAdmitted returns the ledger with the attempt admitted, or an Error whose Kind says why it must not start. The
// ledger returned with an Error records the refusal, so that no later copy of the attempt starts either; if there is no
// room for that, the Kind is KindForgotten, which leaves the outcome unknown.
func (l Ledger) WithAdmitted(a attempt.Attempt, now time.Time) (Ledger, error) {
	if a.Incarnation() != l.incarnation {
		return l, fault.Newf("admit", KindOtherIncarnation, "attempt %s", a.ID())
	}
	t, kind := l.admitted(l.tableOf(a), a, now)
	if kind != "" {
		return l.withTable(a, t), fault.Newf("admit", kind, "attempt %s", a.ID())
	}
	return l.withTable(a, t), nil
}

func (l Ledger) admitted(t table, a attempt.Attempt, now time.Time) (table, Kind) {
	if t.hasTombstone(a.ID()) {
		return t, KindTombstone
	}
	if e, found := t.find(a.Identity()); found {
		if e.digest != a.Digest() {
			return t, KindMismatch
		}
		return t, KindDuplicate
	}
	switch {
	case t.isAtOrBeforeHorizon(a.Expiry()):
		return t, KindForgotten
	case !a.Expiry().After(now):
		return t.withHorizon(a.Expiry()), KindExpired
	case t.len() >= l.limit && a.Key() == "":
		return l.refusedFull(t, a)
	case t.len() >= l.limit:
		evicted, ok := t.withEarliestEvicted()
		if !ok {
			return l.refusedFull(t, a)
		}
		if t = evicted; t.isAtOrBeforeHorizon(a.Expiry()) {
			return t, KindForgotten
		}
	}
	return t.withEntry(Entry{
		identity: a.Identity(), attempt: a.ID(), digest: a.Digest(), state: StateAdmitted, expiry: a.Expiry(),
	}), ""
}

// refusedFull refuses an attempt with a tombstone while there is room for one, else with a kind that promises nothing.
func (l Ledger) refusedFull(t table, a attempt.Attempt) (table, Kind) {
	if t.len() >= 2*l.limit {
		return t, KindForgotten
	}
	return t.withTombstone(a.ID(), a.Expiry()), KindFull
}

// WithState returns the ledger with the identity's entry in state s.
func (l Ledger) WithState(identity string, s State) Ledger {
	if e, found := l.keyed.find(identity); found {
		l.keyed = l.keyed.withState(e, s)
	} else if e, found := l.unkeyed.find(identity); found {
		l.unkeyed = l.unkeyed.withState(e, s)
	}
	return l
}

// WithRolledBack returns the ledger without the admission of an attempt that never reached the engine; a tombstone
// keeps the attempt itself from starting, while another attempt with the same identity may run.
func (l Ledger) WithRolledBack(a attempt.Attempt) Ledger {
	t := l.tableOf(a)
	e, found := t.find(a.Identity())
	if !found || e.attempt != a.ID() || a.Incarnation() != l.incarnation {
		return l
	}
	return l.withTable(a, t.withoutEntry(e).withTombstone(a.ID(), a.Expiry()))
}

// WithTombstone returns the ledger with a tombstone that keeps the attempt from starting, and the outcome that is now
// certain: OutcomeNotRun with the tombstone; without it, OutcomeRan if the identity has started, else OutcomeUnknown.
func (l Ledger) WithTombstone(a attempt.Attempt) (Ledger, attempt.Outcome) {
	if a.Incarnation() != l.incarnation {
		return l, attempt.OutcomeUnknown
	}
	t := l.tableOf(a)
	e, found := t.find(a.Identity())
	switch {
	case found && e.state != StateAdmitted:
		return l, attempt.OutcomeRan
	case found && e.attempt == a.ID():
		return l.WithRolledBack(a), attempt.OutcomeNotRun
	case t.hasTombstone(a.ID()):
		return l, attempt.OutcomeNotRun
	case found, t.isAtOrBeforeHorizon(a.Expiry()), t.len() >= 2*l.limit:
		return l, attempt.OutcomeUnknown
	}
	return l.withTable(a, t.withTombstone(a.ID(), a.Expiry())), attempt.OutcomeNotRun
}

// WithoutExpired returns the ledger without the entries and tombstones that expired by now, except those of attempts in
// progress; attempts that expire at or before the new horizon are refused from then on.
func (l Ledger) WithoutExpired(now time.Time) Ledger {
	l.keyed, l.unkeyed = l.keyed.withoutExpired(now), l.unkeyed.withoutExpired(now)
	return l
}

func (l Ledger) tableOf(a attempt.Attempt) table {
	if a.Key() != "" {
		return l.keyed
	}
	return l.unkeyed
}

func (l Ledger) withTable(a attempt.Attempt, t table) Ledger {
	if a.Key() != "" {
		l.keyed = t
	} else {
		l.unkeyed = t
	}
	return l
}
