// Package path measures the overhead of the entry and the endpoint process on a call of the engine stand-in. All of
// them run in one process on loopback.
package path
