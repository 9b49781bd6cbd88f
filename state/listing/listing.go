package listing

// Listing is all objects of a kind as of a revision of the store.
type Listing[T any] struct {
	Items    []T
	Revision uint64
}

// Change is one object's change.
type Change[T any] struct {
	// Name is the object's name.
	Name string
	// Revision is the store's revision of the change.
	Revision uint64
	// Removed says that the object is gone.
	Removed bool
	// Valid says that Item could be read; an object that could not be read counts as absent.
	Valid bool
	Item  T
}

// Changes are what happened up to a revision of the store.
type Changes[T any] struct {
	Items    []Change[T]
	Revision uint64
}
