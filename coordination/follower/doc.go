// Package follower keeps up with all objects of one kind of the store and reports what it learns;
// it never interprets the objects.
package follower
