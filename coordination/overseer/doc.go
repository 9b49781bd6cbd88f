// Package overseer decides what an entry believes: which configuration is in force and how old that knowledge is,
// which runners may get work, and which entries callers may use. It never does I/O.
package overseer
