package member

import "time"

// Status is an entry's state as shown to operators: the versions of the configuration in force, of the highest that it
// knows of and of its VM list, how long ago the platform confirmed the newest version (or Never), and its view of
// others.
type Status struct {
	Name        string
	Version     uint64
	Highest     uint64
	Roster      uint64
	Age         time.Duration
	Established bool
	Relay       bool
	Leaving     bool
	Alive       int
	Departed    []string
}
