// Package fleet runs a platform stand-in, entry daemons and endpoint daemons in one process on loopback, for the demo,
// tests and benchmarks. The daemons are the production ones; this package holds none of their logic.
package fleet
