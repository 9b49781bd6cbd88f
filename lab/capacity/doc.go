// Package capacity measures how state, messages, processor time and memory grow with size, on real daemon processes,
// and extrapolates those slopes to the planned size. Estimates are derived from measurements and counts; only the size
// of a rack is assumed.
package capacity
