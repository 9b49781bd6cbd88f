// Package splitter splits a stream of server-sent events at blank lines into whole events, byte for byte and without
// parsing their fields.
package splitter
