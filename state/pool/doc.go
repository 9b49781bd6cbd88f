// Package pool provides the immutable set of endpoints of one pool, ordered on a hash ring. Versions of a pool share
// chunks of endpoints: a change of one endpoint copies its chunk and the list of chunks only, and so stays cheap in a
// large pool. Choosing an endpoint is left to the callers.
package pool
