// Package relay provides a TCP proxy that injects faults into open connections: delays, resets, and black holes.
// A black-holed connection stays open and accepts data but never delivers any, while new connections work.
package relay
