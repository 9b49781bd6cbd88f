package peer

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/evacuation"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// Peer is an entry's registration in the store.
type Peer struct {
	// Name is the name of the entry's VM.
	Name string
	// Start identifies one start of the process; a later start has a higher number.
	Start int64
	// Callers and Beats are the addresses (IP:port) at which the entry takes requests and heartbeats.
	Callers, Beats string
	// Centre and Region are the VM's data centre and region.
	Centre, Region string
}

// Heartbeat is the message that an entry sends to another entry at each heartbeat interval.
type Heartbeat struct {
	// Name and Start identify the sender and its incarnation, as in its registration.
	Name  string
	Start int64
	// Ready reports that the sender accepts requests, Leaving that it is shutting down.
	Ready, Leaving bool
	// ConfigVersion is the version of the configuration in force at the sender, and ConfigAge the time since that
	// version was last confirmed to be the newest.
	ConfigVersion uint64
	ConfigAge     time.Duration
	// ConfigEra is the store's era in which the sender last read that version.
	ConfigEra uint64
	// RunnersAt is the position in the store's history of the last change of a runner's registration that the sender knows of.
	RunnersAt position.Position
	// HasEra says that the sender tells eras; processes of earlier releases do not.
	HasEra bool
	// StoreUnreachable reports that the sender, or the entry whose copies it reads, gets no answers from the store.
	StoreUnreachable bool
	// Sent is the time of sending, on the sender's clock.
	Sent time.Duration
	// Echo is the Sent value of the last heartbeat received from the addressee, 0 if there was none, and EchoDelay the
	// time since it was received.
	Echo, EchoDelay time.Duration
	// EchoStart is the Start value of that heartbeat: an echo from an earlier start is void, as a VM's clock restarts
	// when the VM loses power.
	EchoStart int64
	// InFlight is the sender's in-flight work by runner, under the short keys that runner.Key returns.
	InFlight map[uint32]InFlight
	// Crashes lists the latest losses of runners during requests that the sender knows of, with times on its own clock.
	Crashes []suspect.Crash
	// Answers lists the requests with such losses that were answered in full since, with times on the sender's clock.
	Answers []suspect.Answer
	// Parts is the latest evidence about parts of prompts that may crash runners, with times on the sender's clock.
	Parts []suspect.Evidence
	// Leavers are the runners of which the sender knows that they leave.
	Leavers []Leaver
	// Evacuations lists the data centres of which the sender knows that operators drain them, or have returned them to service.
	Evacuations []evacuation.Evacuation
	// Silences lists entries that the sender has not heard from for too long, itself or by others.
	Silences []Silence
}

// Leaver says that a runner leaves.
type Leaver struct {
	// Runner is the runner's short key, as returned by runner.Key.
	Runner uint32
	// Age is how long that has been known, by the process that first knew it.
	Age time.Duration
}

// Silence says that one start of an entry is silent.
type Silence struct {
	Name  string
	Start int64
	// Age is how long ago the silence was noticed, by the entry that noticed it first.
	Age time.Duration
}

// InFlight is the work that an entry has in flight on one runner.
type InFlight struct {
	// Requests is the number of unfinished requests.
	Requests int
	// UnreadTokens is the number of their prompt tokens that the runner has still to process.
	UnreadTokens int
}
