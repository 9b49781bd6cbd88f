package kingcupstile

import "github.com/kingcupstile/kingcupstile/state/fault"

// Kind classifies what went wrong behind one of this package's interfaces.
type Kind string

// The kinds of failure that implementations report.
const (
	KindConflict    Kind = "conflict"
	KindMissing     Kind = "missing"
	KindLimited     Kind = "limited"
	KindUnavailable Kind = "unavailable"
	KindUncertain   Kind = "uncertain"
	KindInvalid     Kind = "invalid"
	// KindExpired says that the store no longer knows what happened since the given revision.
	KindExpired Kind = "expired"
)

// Error is the failure of an operation behind one of this package's interfaces.
type Error = fault.Error[Kind]
