// Package garbler is a stand-in for a server in trouble: it answers requests with bytes of its own choice, whether HTTP has such an answer
// or not, and can break the connection off.
package garbler
