// Package conduit carries one request to a runner on a connection of its own, and says how far it got:
// it never sends a request twice and never takes the answer of another.
package conduit
