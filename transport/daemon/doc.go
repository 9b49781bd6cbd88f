// Package daemon assembles the parts of a process for its role, entry or endpoint, runs them, and shuts them down
// without cutting requests in flight if these end within the grace period. Decisions are made in the control states
// that it runs.
package daemon
