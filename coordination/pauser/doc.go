// Package pauser waits for a duration or until a context ends, without spinning.
package pauser
