// Package soak runs entry daemons as processes against stand-ins for the users' platform, injects faults from outside
// the processes, and checks the guarantees given to callers. It judges by what callers and runners observe alone and
// reads no internal state of the entries.
package soak
