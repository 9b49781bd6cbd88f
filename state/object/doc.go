// Package object holds versioned objects of the platform's store as immutable values; the root package's Store reads
// and writes them.
package object
