// Package soak runs real entries as processes before stand-ins of the users' platform, injects faults from outside them, and
// checks the promises to callers from what callers and runners see; it looks at no state of the entries.
package soak
