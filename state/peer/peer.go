package peer

// Peer is an entry as it registered itself in the store.
type Peer struct {
	// Name is the entry's VM.
	Name string
	// Start tells one start of the process from the next; a later one is higher.
	Start int64
	// Callers and Beats are the IP addresses and ports for callers and for heartbeats.
	Callers, Beats string
	// Centre and Region are where the VM is.
	Centre, Region string
}

// Beat is what an entry tells the others at short intervals.
type Beat struct {
	// Name and Start say which entry speaks.
	Name  string
	Start int64
	// Ready says that the entry takes callers' requests, Leaving that it is about to stop.
	Ready, Leaving bool
	// Version is the version of the configuration in force at the entry.
	Version uint64
	// Open is the entry's unfinished work by runner.
	Open map[string]Open
}

// Open is an entry's unfinished work on one runner.
type Open struct {
	// Requests is how many requests are open.
	Requests int
	// Unread is how many prompt tokens of them are still to be read.
	Unread int
}
