// Package looper runs the single goroutine that owns a daemon's control state. The goroutine applies a pure Step
// function to each event, publishes the new state as a snapshot, and blocks only on its channel of events.
package looper
