// Package rank provides the values that are exchanged with a rank of a group: reports, counts and holdings that it
// gives, and orders that it takes. Deciding on orders is left to the callers.
package rank
