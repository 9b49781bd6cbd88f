// Package subsetter assigns to each entry a deterministic subset of a pool's endpoints, computed from the VM list
// without communication between entries. Subsets load all endpoints evenly, and adding or removing one daemon changes
// few of them.
package subsetter
