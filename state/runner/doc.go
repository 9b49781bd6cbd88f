// Package runner provides immutable values for the registrations of runners, the processes that execute requests.
// Choosing a runner for a request is left to the callers.
package runner
