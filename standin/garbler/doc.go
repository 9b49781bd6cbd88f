// Package garbler is a stand-in for a server in trouble: it answers every request with a status line of its own choice, whether HTTP has
// such a line or not.
package garbler
