// Package executor gives an order to a rank and sees to it on the rank's own VM, so that the process that leads the group
// need not ask again and again; it never gives an order that it was not told to give.
package executor
