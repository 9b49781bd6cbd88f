// Package dispatcher is the state machine of one request at an entry. After each event it returns the next action:
// send an attempt, resume its answer, settle it, forward a frame, or conclude the request. It does no I/O. A request is
// concluded as not run only if each of its attempts was refused, was never written, or can no longer start.
package dispatcher
