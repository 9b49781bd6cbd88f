// Package picker chooses the endpoint of the next attempt by load and by affinity, so that requests with a common
// prefix reach endpoints that have it cached. A choice never blocks and does not change the pool.
package picker
