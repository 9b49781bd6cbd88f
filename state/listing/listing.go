package listing

import "github.com/kingcupstile/kingcupstile/state/position"

// Listing is the set of all objects of a kind at a revision of the store.
type Listing[T any] struct {
	Items []T
	// Position is the place in the store's history that the objects show.
	Position position.Position
	// Unconfirmed says that the objects may be older than the call: they come from a copy, or from a cheap listing of the store.
	Unconfirmed bool
}

// Change is a change of one object.
type Change[T any] struct {
	// Name is the object's name.
	Name string
	// Position is the place of the change in the store's history.
	Position position.Position
	// Removed reports that the object was deleted.
	Removed bool
	// Valid reports that Item was decoded; an object that cannot be decoded counts as absent.
	Valid bool
	Item  T
}

// Changes is a batch of changes that is complete up to a place in the store's history.
type Changes[T any] struct {
	Items    []Change[T]
	Position position.Position
	// Unconfirmed says that the changes come from a copy, which may lack others that were made before the call.
	Unconfirmed bool
}
