// Package follower lists all objects of one kind in the store, watches them for changes, and passes both to a sink. It
// does not interpret the objects.
package follower
