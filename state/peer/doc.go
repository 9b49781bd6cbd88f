// Package peer holds what entries tell each other of themselves;
// it never decides who is alive.
package peer
