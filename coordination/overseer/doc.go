// Package overseer is the state machine of an entry's control state: the configuration in force and its staleness, the
// runners that may get work, and the entries that callers may use. It performs no I/O; Step returns the effects to
// carry out.
package overseer
