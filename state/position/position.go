package position

import (
	"cmp"
	"fmt"
)

// Position is a place in the store's history.
type Position struct {
	// Era counts how often the store was restored from an older copy, 0 for a store that does not tell.
	Era uint64
	// Revision is the number of the last change; a restore takes it back, and it is given out again.
	Revision uint64
}

// New returns the position of a revision in an era.
func New(era, revision uint64) Position { return Position{Era: era, Revision: revision} }

// Compare returns -1, 0 or 1 as p is before, at or after q: by era, and within one by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// IsBefore reports whether p is before q.
func (p Position) IsBefore(q Position) bool { return p.Compare(q) < 0 }

// IsSameEra reports whether no restore lies between p and q, so that the history up to the later one contains the earlier one.
func (p Position) IsSameEra(q Position) bool { return p.Era == q.Era }

// WithRevision returns the position of another revision in the same era.
func (p Position) WithRevision(revision uint64) Position {
	return Position{Era: p.Era, Revision: revision}
}

// String returns the position as it stands in logs: era and revision, joined by a colon.
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Era, p.Revision) }

// MarshalText returns the position as String does, for logs that are written as JSON.
func (p Position) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// Max returns the later of two positions.
func Max(p, q Position) Position {
	if p.IsBefore(q) {
		return q
	}
	return p
}
