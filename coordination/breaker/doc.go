// Package breaker tells whether the runners of a service, which work in lock-step, are down together, and for how long that
// is expected to last, so that callers are told when to return. It performs no I/O.
package breaker
