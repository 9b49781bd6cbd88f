// Package poller computes the delays between an entry's polls of its endpoints, so that all polls of an entry together
// stay within a limit of bytes per second. It sends no polls itself.
package poller
