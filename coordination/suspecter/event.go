package suspecter

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// Event is an input of Step.
type Event interface{ isEvent() }

// EndpointLost says that an endpoint was lost while a request ran there.
type EndpointLost struct {
	Fingerprint suspect.Fingerprint
	Service     string
	Endpoint    string
	// Alone says that no other request ran there.
	Alone bool
	At    time.Time
	// Done is closed when the other entries have been told, or need not be.
	Done chan<- struct{}
}

// CompletedAlone says that a request ran alone and to completion.
type CompletedAlone struct {
	Fingerprint suspect.Fingerprint
	At          time.Time
}

// SuspectsReceived brings records from another entry.
type SuspectsReceived struct{ Table suspect.Table }

// StoredTableRead brings the table that the platform holds, after a load or a save.
type StoredTableRead struct{ Table suspect.Table }

// Tick triggers the broadcast and the saving of records, and drops expired ones; Jitter is a random number from 0 to 1
// that spreads the saves of several entries over time.
type Tick struct {
	At     time.Time
	Jitter float64
}

func (EndpointLost) isEvent()     {}
func (CompletedAlone) isEvent()   {}
func (SuspectsReceived) isEvent() {}
func (StoredTableRead) isEvent()  {}
func (Tick) isEvent()             {}

// Effect is an output of Step, to be carried out outside the control goroutine.
type Effect interface{ isEffect() }

// Broadcast sends records to the other entries; then the channels in Done are closed.
type Broadcast struct {
	Table suspect.Table
	Done  []chan<- struct{}
}

// Release closes Done without a broadcast.
type Release struct{ Done chan<- struct{} }

// SaveTable merges the table into the one that the platform holds.
type SaveTable struct{ Table suspect.Table }

func (Broadcast) isEffect() {}
func (Release) isEffect()   {}
func (SaveTable) isEffect() {}
