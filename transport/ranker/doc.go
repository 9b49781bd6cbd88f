// Package ranker is the twirp client and server through which the process that leads a rank group reaches the ranks of
// the group: it calls the process beside each rank (its sidecar), or the rank itself when the sidecar does not answer.
// Reports and orders pass through unchanged.
package ranker
