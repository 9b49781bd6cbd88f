// Package eventer reads whole events and their numeric identifiers from a stream of server-sent events;
// an incomplete event is reported as an error, and its bytes are dropped.
package eventer
