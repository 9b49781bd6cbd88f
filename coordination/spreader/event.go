package spreader

import (
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/assembler"
	"github.com/kingcupstile/kingcupstile/state/member"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Event is an input to Step.
type Event interface{ isEvent() }

// Tick advances the time, so that timeouts and intervals take effect.
type Tick struct{ At time.Time }

// HeartbeatReceived carries a heartbeat that another daemon sent, on its own or as an answer.
type HeartbeatReceived struct {
	Beat member.Heartbeat
	At   time.Time
}

// HeartbeatFailed says that a daemon did not answer a heartbeat.
type HeartbeatFailed struct {
	Name string
	At   time.Time
}

// ConfigurationReceived carries a complete version of the configuration; Source names the peer that it was fetched
// from and is empty for the platform.
type ConfigurationReceived struct {
	Assembly assembler.Assembly
	Source   string
	At       time.Time
}

// VersionConfirmed says that the platform had no newer configuration than Version at the time of the request.
type VersionConfirmed struct {
	Version     uint64
	RequestedAt time.Time
}

// FetchFailed says that the configuration could not be fetched from a peer; an empty Source means the platform.
type FetchFailed struct {
	Source string
	At     time.Time
}

// RosterReceived carries a version of the VM list.
type RosterReceived struct {
	Roster roster.Roster
	At     time.Time
}

// Leave says that this daemon is about to shut down.
type Leave struct{ At time.Time }

func (Tick) isEvent()                  {}
func (HeartbeatReceived) isEvent()     {}
func (HeartbeatFailed) isEvent()       {}
func (ConfigurationReceived) isEvent() {}
func (VersionConfirmed) isEvent()      {}
func (FetchFailed) isEvent()           {}
func (RosterReceived) isEvent()        {}
func (Leave) isEvent()                 {}

// Effect is an action to be carried out outside the control goroutine.
type Effect interface{ isEffect() }

// SendHeartbeat requests that a heartbeat is sent to a daemon, whose answer comes back as an event.
type SendHeartbeat struct {
	Name    string
	Address string
	Beat    member.Heartbeat
}

// FetchConfiguration requests the configuration that a peer holds.
type FetchConfiguration struct {
	Name    string
	Address string
}

// FetchRoster requests the changes in a peer's VM list after a version.
type FetchRoster struct {
	Name    string
	Address string
	After   uint64
}

// ReadPlatform requests a single read of the configuration and the VM list from the platform.
type ReadPlatform struct{}

// WatchPlatform starts the watches of the platform, or ends them if On is false.
type WatchPlatform struct{ On bool }

func (SendHeartbeat) isEffect()      {}
func (FetchConfiguration) isEffect() {}
func (FetchRoster) isEffect()        {}
func (ReadPlatform) isEffect()       {}
func (WatchPlatform) isEffect()      {}
