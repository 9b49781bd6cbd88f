package listing

// Listing is the set of all objects of a kind at a revision of the store.
type Listing[T any] struct {
	Items    []T
	Revision uint64
	// Unconfirmed says that the objects may be older than the call: they come from a copy, or from a cheap listing of the store.
	Unconfirmed bool
}

// Change is a change of one object.
type Change[T any] struct {
	// Name is the object's name.
	Name string
	// Revision is the revision of the store that the change made.
	Revision uint64
	// Removed reports that the object was deleted.
	Removed bool
	// Valid reports that Item was decoded; an object that cannot be decoded counts as absent.
	Valid bool
	Item  T
}

// Changes is a batch of changes that is complete up to a revision of the store.
type Changes[T any] struct {
	Items    []Change[T]
	Revision uint64
	// Unconfirmed says that the changes come from a copy, which may lack others that were made before the call.
	Unconfirmed bool
}
