package overseer

import "github.com/kingcupstile/kingcupstile/state/position"

// progress is how far the objects of a kind are known.
type progress struct {
	// asOf is the position in the store's history up to which all changes are known.
	asOf position.Position
	// isRereading says that an older listing was passed over, so that changes which are known are read once more.
	isRereading bool
}

// withListing returns the progress after a listing, and false if it is older than what is known and to be passed over. A confirmed
// listing at a lower revision of the same era is the state of a store that has lost its past; one of an earlier era came late.
func (p progress) withListing(at position.Position, unconfirmed bool) (progress, bool) {
	if at.Era < p.asOf.Era || unconfirmed && at.IsBefore(p.asOf) {
		return progress{asOf: p.asOf, isRereading: true}, false
	}
	return progress{asOf: at}, true
}

// withChanges returns the progress after all changes up to a position, and false if they are known already or of an earlier era.
func (p progress) withChanges(at position.Position) (progress, bool) {
	if at.Era < p.asOf.Era || p.isRereading && at.IsBefore(p.asOf) {
		return p, false
	}
	return progress{asOf: position.Max(p.asOf, at)}, true
}
