// Package entries compares strategies for telling callers which entry to use, by how evenly the entries are loaded
// while callers cache the answers. Time is simulated and the seed is fixed.
package entries
