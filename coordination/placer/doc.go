// Package placer chooses the runner for a request by the open work and the recent failures of each runner, as tracked
// by this entry and reported in the heartbeats of others. It performs no I/O.
package placer
