// Package executor gives an order to a rank and returns the rank's report after it, polling the rank while it copies a
// map. It usually runs on the rank's own VM, so that the process that leads the group need not poll over the network.
package executor
