// Package peer provides the registrations of entries in the store and the heartbeats that entries exchange.
// Failure detection is left to the callers.
package peer
