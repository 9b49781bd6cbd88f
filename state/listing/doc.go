// Package listing provides the results of reading all stored objects of a kind (a list) and of following their changes
// (a watch), each with the place in the
// store's history that it shows.
package listing
