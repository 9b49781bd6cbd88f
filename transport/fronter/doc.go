// Package fronter is the HTTP server for callers on an entry VM: entry addresses, tickets and requests to services.
// It reads control state from snapshots only; the coordination layer makes the decisions.
package fronter
