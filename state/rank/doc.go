// Package rank holds what a rank of a group says of itself and the orders that it takes;
// it never decides which order is given.
package rank
