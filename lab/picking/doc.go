// Package picking compares strategies for picking a runner on the same seeded load in simulated time, and ways to
// choose the subset of endpoints that each entry uses.
package picking
