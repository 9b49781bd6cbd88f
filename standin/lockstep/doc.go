// Package lockstep simulates a rank group whose engines check no fencing token, as on the users' platform: all ranks
// begin each pass together, and an order's preconditions are checked when it is applied, however late it arrives.
package lockstep
