// Package warmer decides how many requests runners that were started lately, and are cold, may get, and how much of their slots may be
// in use. It performs no I/O.
package warmer
