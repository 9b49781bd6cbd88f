// Package attempt holds the values of one attempt to run a request on an endpoint: the attempt with its identity, the
// frames of its answer and its outcome. The coordination layer decides whether an attempt starts.
package attempt
