package kingcupstile

// Reservation counts the bytes that a request keeps against what the process may keep in all.
type Reservation interface {
	// Add adds a number of bytes, and returns false and adds none if they are too many.
	Add(bytes int64) bool
	// Remove gives back a number of bytes that were added.
	Remove(bytes int64)
}
