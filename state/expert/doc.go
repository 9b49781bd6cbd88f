// Package expert provides immutable values for the placement of experts on the ranks of a group: maps, load estimates,
// and the messages and the stored record of the two-phase commit that switches all ranks from one map to the next at a
// step. Planning a map and deciding when to switch are left to the callers.
package expert
