// Package member provides the immutable heartbeats that daemons exchange about themselves and others, and the status
// that an entry reports to operators. Failure detection is left to the callers.
package member
