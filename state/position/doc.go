// Package position provides places in the store's history as values that can be compared across restores of the store: an era, which
// rises with each restore from an older copy, and a revision within it. Reading them from the store's answers is left to the callers.
package position
