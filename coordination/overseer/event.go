package overseer

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/evacuation"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// Event is an input to Step. The At field of an event is when it happened, on the entry's monotonic clock, which counts
// suspended time.
type Event interface{ isEvent() }

// ConfigReceived carries the configuration that was the newest when the store was asked, at RequestedAt.
type ConfigReceived struct {
	Table       routing.Table
	RequestedAt time.Duration
}

// ConfigConfirmed reports that the store had no newer configuration when it was asked, at RequestedAt.
type ConfigConfirmed struct{ RequestedAt time.Duration }

// ConfigUnread reports that the newest configuration in the store cannot be read, or that there is none.
type ConfigUnread struct {
	// Position is that of the object, or of the listing that lacks it.
	Position position.Position
	// RequestedAt is when the store was asked, 0 if a copy was.
	RequestedAt time.Duration
}

// RunnersListed carries all registered runners.
type RunnersListed struct {
	Runners []runner.Runner
	// Position is that of the listing in the store's history.
	Position position.Position
	// Unconfirmed says that the listing may be older than the call for it.
	Unconfirmed bool
	At          time.Duration
}

// RunnersChanged carries changes of runners' registrations.
type RunnersChanged struct {
	Changes []listing.Change[runner.Runner]
	// Position is that in the store's history up to which these are all the changes.
	Position position.Position
	At       time.Duration
}

// StoreUnreachable reports that the store did not answer a call for runners.
type StoreUnreachable struct{ At time.Duration }

// PeersListed carries all registered entries.
type PeersListed struct {
	Peers []peer.Peer
	// Position and Unconfirmed are as in RunnersListed.
	Position    position.Position
	Unconfirmed bool
	At          time.Duration
}

// PeersChanged carries changes of entries' registrations.
type PeersChanged struct {
	Changes []listing.Change[peer.Peer]
	// Position is that in the store's history up to which these are all the changes.
	Position position.Position
	At       time.Duration
}

// EvacuationsListed carries all data centres that operators drain.
type EvacuationsListed struct {
	Evacuations []evacuation.Evacuation
	// Position and Unconfirmed are as in RunnersListed.
	Position    position.Position
	Unconfirmed bool
	// RequestedAt is when a store was asked that answered with its latest state, 0 if a copy was.
	RequestedAt time.Duration
	At          time.Duration
}

// EvacuationsChanged carries changes of the data centres that operators drain.
type EvacuationsChanged struct {
	Changes []listing.Change[evacuation.Evacuation]
	// Position is that in the store's history up to which these are all the changes, and RequestedAt is as in EvacuationsListed.
	Position    position.Position
	RequestedAt time.Duration
	At          time.Duration
}

// HeartbeatReceived carries another entry's heartbeat.
type HeartbeatReceived struct {
	Heartbeat peer.Heartbeat
	At        time.Duration
}

// RunnerCrashed reports that a runner was lost that held a request which it had not begun to answer.
type RunnerCrashed struct {
	Fingerprint suspect.Fingerprint
	Runner      string
	// StartedAt is the start time of the runner in Unix milliseconds, 0 if unknown.
	StartedAt int64
	// Parts are the shared parts of the request's prompt.
	Parts []suspect.Sighting
	At    time.Duration
}

// AnswerCut reports that a runner broke off its answer to a request: it closed the connection after it had begun to answer.
type AnswerCut struct {
	Fingerprint suspect.Fingerprint
	Runner      string
	// StartedAt is the start time of the runner in Unix milliseconds, 0 if unknown.
	StartedAt int64
	At        time.Duration
}

// RunnerSeen reports whether a runner that broke off answers is alive: it answers a request, or it is not at its address.
type RunnerSeen struct {
	Runner    string
	StartedAt int64
	Alive     bool
	// SentAt is when the request was sent that showed this.
	SentAt time.Duration
}

// RequestAnswered reports that a request of which crashes are known was answered in full.
type RequestAnswered struct {
	Fingerprint suspect.Fingerprint
	At          time.Duration
}

// PartsAnswered reports that a runner began to answer a request with some parts in its prompt.
type PartsAnswered struct {
	Parts []suspect.Part
	At    time.Duration
}

// RunnerLeaves reports that a runner said in an answer that it leaves.
type RunnerLeaves struct {
	Runner string
	At     time.Duration
}

// Tick makes Step apply what is due at a time; it is sent at short intervals.
type Tick struct{ At time.Duration }

// Leave reports that this entry is about to stop.
type Leave struct{}

func (ConfigReceived) isEvent()     {}
func (ConfigConfirmed) isEvent()    {}
func (ConfigUnread) isEvent()       {}
func (RunnersListed) isEvent()      {}
func (RunnersChanged) isEvent()     {}
func (StoreUnreachable) isEvent()   {}
func (PeersListed) isEvent()        {}
func (PeersChanged) isEvent()       {}
func (EvacuationsListed) isEvent()  {}
func (EvacuationsChanged) isEvent() {}
func (HeartbeatReceived) isEvent()  {}
func (RunnerCrashed) isEvent()      {}
func (AnswerCut) isEvent()          {}
func (RunnerSeen) isEvent()         {}
func (RequestAnswered) isEvent()    {}
func (PartsAnswered) isEvent()      {}
func (RunnerLeaves) isEvent()       {}
func (Tick) isEvent()               {}
func (Leave) isEvent()              {}

// Effect is an action that Step asks for; it is carried out outside the state machine.
type Effect interface{ isEffect() }

// Log asks for a log line about a change of the control state.
type Log struct {
	Message string
	// Args are the keys and values of the log line, in turn.
	Args []any
}

// Deregister asks for the removal of an entry's registration from the store.
type Deregister struct{ Name string }

// Refresh asks for an immediate read of some kinds of objects from the store.
type Refresh struct{ Config, Runners, Entries, Evacuations bool }

// Register asks to register this entry in the store once more, as its registration is missing there.
type Register struct{}

// Restored tells that the store was restored from an older copy.
type Restored struct {
	// Era is the store's era now.
	Era uint64
}

// Evacuated tells that operators drain a data centre, or that they returned it to service.
type Evacuated struct {
	Centre string
	Ended  bool
}

// Unread tells that the newest configuration in the store cannot be read, or that it can be read again.
type Unread struct{ Ended bool }

// Withhold asks to withdraw the unanswered requests with some parts from runners.
type Withhold struct{ Parts []suspect.Part }

// RunnerLost tells that a runner of a service was lost, by this entry's account or another's.
type RunnerLost struct {
	Service string
	At      time.Duration
}

func (Log) isEffect()        {}
func (Register) isEffect()   {}
func (Restored) isEffect()   {}
func (Withhold) isEffect()   {}
func (RunnerLost) isEffect() {}
func (Evacuated) isEffect()  {}
func (Unread) isEffect()     {}
func (Refresh) isEffect()    {}
func (Deregister) isEffect() {}
