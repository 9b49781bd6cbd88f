// Package pauser waits for a time or until a context ends; it never spins.
package pauser
