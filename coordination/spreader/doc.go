// Package spreader decides how an entry exchanges versions of the configuration, versions of the VM list and departures
// of daemons with the platform and the other entries. It does no I/O: Step turns an event into a new state and the
// effects to carry out. The version in force at an entry never decreases, not even across a restart.
package spreader
