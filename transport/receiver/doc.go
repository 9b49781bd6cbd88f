// Package receiver reads datagrams from a socket until a context ends. A failed read ends nothing.
package receiver
