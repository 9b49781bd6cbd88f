package limiter

import "time"

// Key identifies a limit: that of one client account for one service.
type Key struct {
	Service string
	Account string
}

func (k Key) bytes() []byte { return []byte(k.Service + "\x00" + k.Account) }

// Demand is an entry's request for a share of a limit.
type Demand struct {
	Key Key
	// Limit is the account's limit over all entries, in requests per second.
	Limit float64
	// Rate is the rate at which callers send through the entry, in requests per second, refused ones included.
	Rate float64
	// Held is the rate of the unexpired share that the entry holds, from any home, in requests per second.
	Held float64
}

// Share is the part of a limit that a home leases to one entry.
type Share struct {
	Key Key
	// Rate is what the entry may pass, in requests per second.
	Rate float64
	// TTL is how long the share is valid after the entry has received it.
	TTL time.Duration
}

// Event is an input of Step.
type Event interface{ isEvent() }

// EntriesUpdated brings the names of all entries, this one included.
type EntriesUpdated struct {
	Names []string
	At    time.Time
}

// ShareRequested says that a request waits for a share; a Release carries Done when a home has answered or none can.
type ShareRequested struct {
	Demand Demand
	At     time.Time
	Done   chan<- struct{}
}

// Tick triggers the renewal of shares; Demands are those of the keys in use.
type Tick struct {
	At      time.Time
	Demands []Demand
}

// SharesReceived brings a home's answer.
type SharesReceived struct {
	Shares []Share
	At     time.Time
}

// HomesUnreachable says that no home answered a RequestShares.
type HomesUnreachable struct {
	Demands []Demand
	At      time.Time
}

// DemandsReceived brings an entry's demands to this entry as their home; Reply gets the shares.
type DemandsReceived struct {
	Entry   string
	Demands []Demand
	At      time.Time
	Reply   chan<- []Share
}

func (EntriesUpdated) isEvent()   {}
func (ShareRequested) isEvent()   {}
func (Tick) isEvent()             {}
func (SharesReceived) isEvent()   {}
func (HomesUnreachable) isEvent() {}
func (DemandsReceived) isEvent()  {}

// Effect is an output of Step, to be carried out outside the control goroutine.
type Effect interface{ isEffect() }

// RequestShares sends demands to the first of Homes that answers.
type RequestShares struct {
	Homes   []string
	Demands []Demand
}

// SendShares sends shares to the entry whose demands arrived with a DemandsReceived.
type SendShares struct {
	Shares []Share
	Reply  chan<- []Share
}

// Release closes the channels of requests that waited for a share, so that they go on.
type Release struct{ Done []chan<- struct{} }

func (RequestShares) isEffect() {}
func (SendShares) isEffect()    {}
func (Release) isEffect()       {}
