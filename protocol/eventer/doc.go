// Package eventer splits a stream of server-sent events into whole events;
// it never passes on a part of one.
package eventer
