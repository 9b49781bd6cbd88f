package overseer

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// Event is something that an entry learns; At is when, on a clock that counts suspended time.
type Event interface{ isEvent() }

// Configured brings the newest configuration as of when the question was sent.
type Configured struct {
	Table routing.Table
	Asked time.Duration
}

// Confirmed says that no newer configuration was there when the question was sent.
type Confirmed struct{ Asked time.Duration }

// RunnersListed brings all registered runners.
type RunnersListed struct {
	Runners []runner.Runner
	// Revision is the store's revision at which these were all.
	Revision uint64
	At       time.Duration
}

// RunnersChanged brings changes of registrations.
type RunnersChanged struct {
	Changes []listing.Change[runner.Runner]
	// Revision is the store's revision up to which there were no others.
	Revision uint64
	At       time.Duration
}

// StoreLost says that the store did not answer about runners.
type StoreLost struct{ At time.Duration }

// PeersListed brings all registered entries.
type PeersListed struct {
	Peers []peer.Peer
	At    time.Duration
}

// PeersChanged brings changes of entries' registrations.
type PeersChanged struct {
	Changes []listing.Change[peer.Peer]
	At      time.Duration
}

// Heard brings another entry's heartbeat.
type Heard struct {
	Beat peer.Beat
	At   time.Duration
}

// Crashed says that a runner was lost while it ran a request.
type Crashed struct {
	Fingerprint suspect.Fingerprint
	Runner      string
	At          time.Duration
}

// Tick says that some time has passed.
type Tick struct{ At time.Duration }

// Leave says that this entry is about to stop.
type Leave struct{}

func (Configured) isEvent()     {}
func (Confirmed) isEvent()      {}
func (RunnersListed) isEvent()  {}
func (RunnersChanged) isEvent() {}
func (StoreLost) isEvent()      {}
func (PeersListed) isEvent()    {}
func (PeersChanged) isEvent()   {}
func (Heard) isEvent()          {}
func (Crashed) isEvent()        {}
func (Tick) isEvent()           {}
func (Leave) isEvent()          {}

// Effect is something to be done outside the control goroutine.
type Effect interface{ isEffect() }

// Noted says that this entry's belief changed, for the log.
type Noted struct {
	What    string
	Details []any
}

// Forget asks for the removal of an entry's registration.
type Forget struct{ Name string }

// Refresh asks the store anew: about the configuration, about runners, or both.
type Refresh struct{ Config, Runners bool }

func (Noted) isEffect()   {}
func (Refresh) isEffect() {}
func (Forget) isEffect()  {}
