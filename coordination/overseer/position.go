package overseer

// position is how far the objects of a kind are known.
type position struct {
	// asOf is the store's revision up to which all changes are known.
	asOf uint64
	// isRereading says that an older listing was passed over, so that changes which are known are read once more.
	isRereading bool
}

// withListing returns the position after a listing at a revision, and false if it is older than what is known and to be passed
// over. A confirmed listing that is older is the state of a store that has lost its past.
func (p position) withListing(revision uint64, unconfirmed bool) (position, bool) {
	if unconfirmed && revision < p.asOf {
		return position{asOf: p.asOf, isRereading: true}, false
	}
	return position{asOf: revision}, true
}

// withChanges returns the position after all changes up to a revision, and false if they are known already.
func (p position) withChanges(revision uint64) (position, bool) {
	if p.isRereading && revision < p.asOf {
		return p, false
	}
	return position{asOf: max(p.asOf, revision)}, true
}
