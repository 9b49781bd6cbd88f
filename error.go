package kingcupstile

import "github.com/kingcupstile/kingcupstile/state/fault"

// Kind classifies the failure of an operation of one of this package's interfaces.
type Kind string

// The kinds of failure that implementations report.
const (
	KindConflict    Kind = "conflict"
	KindMissing     Kind = "missing"
	KindLimited     Kind = "limited"
	KindUnavailable Kind = "unavailable"
	KindUncertain   Kind = "uncertain"
	KindInvalid     Kind = "invalid"
	// KindExpired means that the store no longer keeps the changes since the given revision.
	KindExpired Kind = "expired"
)

// Error is a failed operation of one of this package's interfaces; callers switch on its Kind.
type Error = fault.Error[Kind]
