package member

import "time"

// Never is the age that stands for a version that the platform has not confirmed yet.
const Never = time.Duration(-1)

// Heartbeat is a daemon's own state together with what it knows of other daemons.
type Heartbeat struct {
	name           string
	incarnation    uint64
	address        string
	heldVersion    uint64
	highestVersion uint64
	rosterVersion  uint64
	age            time.Duration
	leaving        bool
	established    bool
	departures     []Departure
}

// Option sets a field of a Heartbeat under construction.
type Option func(*Heartbeat)

// Incarnation sets the number that the sender raises to refute a report that it is leaving or silent.
func Incarnation(n uint64) Option { return func(b *Heartbeat) { b.incarnation = n } }

// Address sets the IP address and port at which daemons reach the sender.
func Address(a string) Option { return func(b *Heartbeat) { b.address = a } }

// Versions sets the version of the configuration that the sender holds, the highest version that it knows of, and the
// version of its VM list.
func Versions(held, highest, roster uint64) Option {
	return func(b *Heartbeat) { b.heldVersion, b.highestVersion, b.rosterVersion = held, highest, roster }
}

// Age sets how long ago the platform confirmed the highest version, or Never.
func Age(d time.Duration) Option { return func(b *Heartbeat) { b.age = d } }

// Leaving sets whether the sender is shutting down.
func Leaving(leaving bool) Option { return func(b *Heartbeat) { b.leaving = leaving } }

// Established sets whether the sender knows of a version at least as high as the one it had before it was restarted.
func Established(established bool) Option { return func(b *Heartbeat) { b.established = established } }

// Departures sets which daemons are known to be leaving or silent.
func Departures(d ...Departure) Option { return func(b *Heartbeat) { b.departures = d } }

// New returns the heartbeat of the daemon on the named VM, with an age of Never unless an option sets it.
func New(name string, options ...Option) Heartbeat {
	b := Heartbeat{name: name, age: Never}
	for _, option := range options {
		option(&b)
	}
	return b
}

// Name returns the name of the sender's VM.
func (b Heartbeat) Name() string { return b.name }

// Incarnation returns the number that the sender raises to refute a report that it is leaving or silent.
func (b Heartbeat) Incarnation() uint64 { return b.incarnation }

// Address returns the IP address and port at which daemons reach the sender.
func (b Heartbeat) Address() string { return b.address }

// HeldVersion returns the highest version of the configuration that the sender holds completely.
func (b Heartbeat) HeldVersion() uint64 { return b.heldVersion }

// HighestVersion returns the highest version of the configuration that the sender knows of.
func (b Heartbeat) HighestVersion() uint64 { return b.highestVersion }

// RosterVersion returns the version of the sender's VM list.
func (b Heartbeat) RosterVersion() uint64 { return b.rosterVersion }

// Age returns how long ago the platform confirmed the highest version, or Never.
func (b Heartbeat) Age() time.Duration { return b.age }

// IsLeaving reports whether the sender is shutting down.
func (b Heartbeat) IsLeaving() bool { return b.leaving }

// IsEstablished reports whether the sender knows of a version at least as high as the one it had before it was
// restarted.
func (b Heartbeat) IsEstablished() bool { return b.established }

// Departures returns the daemons known to be leaving or silent, which the caller must not change.
func (b Heartbeat) Departures() []Departure { return b.departures }

// Departure records that a daemon is leaving or silent; a heartbeat of that daemon with a higher incarnation refutes
// it.
type Departure struct {
	name        string
	incarnation uint64
}

// NewDeparture returns the departure of the daemon on the named VM in the given incarnation.
func NewDeparture(name string, incarnation uint64) Departure {
	return Departure{name: name, incarnation: incarnation}
}

// Name returns the name of the departed daemon's VM.
func (d Departure) Name() string { return d.name }

// Incarnation returns the last incarnation that the departure applies to.
func (d Departure) Incarnation() uint64 { return d.incarnation }

// WithHighestVersion returns the heartbeat with its highest version raised to v if v is higher.
func (b Heartbeat) WithHighestVersion(v uint64) Heartbeat {
	b.highestVersion = max(b.highestVersion, v)
	return b
}
