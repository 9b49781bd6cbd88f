// Package caller provides an HTTP client as a client account would write it, for tests, the demo and load tests.
// It asks an entry for the addresses of entries, connects to them directly, and shares no protocol code with the
// daemons.
package caller
