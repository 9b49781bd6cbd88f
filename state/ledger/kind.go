package ledger

import (
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies the reasons for refusing an attempt.
type Kind string

// The kinds of refusal.
const (
	// KindOtherIncarnation means that the attempt is for another incarnation than the ledger's.
	KindOtherIncarnation Kind = "incarnation"
	// KindTombstone means that the attempt itself has been refused or settled before.
	KindTombstone Kind = "buried"
	// KindForgotten means that an entry of the identity may have been dropped, or that the refusal cannot be recorded.
	KindForgotten Kind = "forgotten"
	// KindDuplicate means that the identity has been admitted before.
	KindDuplicate Kind = "duplicate"
	// KindMismatch means that the identity has been admitted before for a different request.
	KindMismatch Kind = "mismatch"
	// KindExpired means that the attempt's expiry has passed.
	KindExpired Kind = "expired"
	// KindFull means that the table has no room for another entry.
	KindFull Kind = "full"
)

// Error is a refused ledger operation.
type Error = fault.Error[Kind]

// Outcome returns what a refusal of this kind proves about the attempt: it has not run, except that another incarnation
// may have run it, or this one before its entry was dropped.
func (k Kind) Outcome() attempt.Outcome {
	if k == KindOtherIncarnation || k == KindForgotten {
		return attempt.OutcomeUnknown
	}
	return attempt.OutcomeNotRun
}
