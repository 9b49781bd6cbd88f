// Package localizer decides when a request is sent to a runner in another data centre instead of waiting for room in its own, and how
// large a share of the requests may be. It performs no I/O.
package localizer
