// Package linker links many entries into a tree along which news and confirmations travel in a few steps. Every entry
// computes its own links from the names of the entries that it takes to be present, so that entries with the same view
// agree on them; it performs no I/O.
package linker
