package spreader

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupstile/kingcupstile/coordination/assembler"
	"github.com/kingcupstile/kingcupstile/state/member"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Intervals and timeouts of the exchange with the other entries and the platform.
const (
	relayInterval     = 2 * time.Second // between heartbeats to the relay
	neighbourInterval = 4 * time.Second
	// establishDelay is the least time after a start at which peers' heartbeats can establish a daemon.
	establishDelay = 3 * time.Second
	// aliveTimeout is how long a peer counts as alive after its last heartbeat.
	aliveTimeout = 10 * time.Second
	// staleTimeout and up to staleJitter more may pass after the platform's last confirmation before an entry that is
	// not a relay reads the platform itself.
	staleTimeout = 5 * time.Second
	staleJitter  = 2 * time.Second
	// fetchTimeout is how long a fetch of the configuration may be in flight before another is started.
	fetchTimeout        = time.Second
	retryInterval       = time.Second // between heartbeats to a target that did not answer
	pushInterval        = time.Second // least time between two announcements to all targets and followers
	rosterFetchInterval = 2 * time.Second
	minReadBackoff      = 2 * time.Second
	maxReadBackoff      = 30 * time.Second
	// departureTTL is how long a departure is in effect and passed on.
	departureTTL = 90 * time.Second
	// tombstoneTTL is how long a departure is remembered, so that a late report does not bring it back.
	tombstoneTTL = 10 * time.Minute
)

const (
	// maxRequiredAcks is how many other daemons must acknowledge a version before it is put in force, if as many answer.
	maxRequiredAcks = 2
	// maxRequiredEstablished is how many established peers a restarted daemon must hear from while the platform is down;
	// if there are fewer peers, all of them.
	maxRequiredEstablished = 3
	// unreachableAfter is the number of consecutive failed calls after which a daemon counts as unreachable.
	unreachableAfter = 3
	// maxRosterHistory is how many older VM lists are kept, so that a peer can be sent only what changed.
	maxRosterHistory = 32
	// maxDepartures is the largest number of departures in one heartbeat.
	maxDepartures = 16
)

// peer is what this daemon knows of another.
type peer struct {
	beat       member.Heartbeat // the last heartbeat received
	receivedAt time.Time
	sentAt     time.Time
	failures   int // heartbeats and fetches that failed since the last heartbeat received
}

// target is a daemon to which heartbeats are sent, and the time between two regular ones.
type target struct {
	name     string
	address  string
	interval time.Duration
}

// departure is the tombstone of a daemon that was reported as leaving or unreachable.
type departure struct {
	incarnation uint64
	recordedAt  time.Time
}

// State is an immutable snapshot of what one entry knows of the platform and the other entries.
type State struct {
	self    string
	centre  string
	address string
	started time.Time
	// incarnation is the number that this daemon raises to refute a report that it has departed.
	incarnation uint64
	leaving     bool

	inForce assembler.Assembly
	// prepared is a complete configuration that may not be in force yet.
	prepared assembler.Assembly
	// highest is the highest version known of, from the platform or other daemons.
	highest uint64
	// confirmedAt is the latest time at which the platform is known to have had no higher version than highest.
	confirmedAt time.Time
	established bool

	roster        roster.Roster
	rosterHistory []roster.Roster
	entryCount    int // live entries in the VM list, this one included
	// relays are the other relays of this data centre, in the order in which this entry prefers them.
	relays []roster.VM
	// followers are the entries that this one serves as their first choice of relay.
	followers  []target
	neighbours []target
	relaying   bool

	peers       map[string]peer
	departures  map[string]departure
	pushPending bool // a heartbeat is to be sent to all targets and followers
	pushedAt    time.Time

	fetchSource     string // the peer of the fetch in flight, empty if there is none
	fetchStartedAt  time.Time
	rosterFetchedAt time.Time
	nextReadAt      time.Time
	readBackoff     time.Duration
	reads           uint64
}

// New returns the state of an entry that started at the given time and knows nothing yet.
func New(self, centre string, started time.Time) State {
	return State{
		self: self, centre: centre, started: started, incarnation: 1, readBackoff: minReadBackoff,
		inForce: assembler.New(), prepared: assembler.New(),
	}
}

// WithAddress returns the state with the IP address and port at which other daemons reach this one.
func (s State) WithAddress(address string) State {
	s.address = address
	return s
}

// InForce returns the configuration in force here, at version 0 if there is none yet.
func (s State) InForce() assembler.Assembly { return s.inForce }

// Latest returns the complete configuration with the highest version that this daemon has, in force or not yet.
func (s State) Latest() assembler.Assembly {
	if s.prepared.Version() > s.inForce.Version() {
		return s.prepared
	}
	return s.inForce
}

// Highest returns the highest version of the configuration that this daemon knows of, whether it has it or not.
func (s State) Highest() uint64 { return s.highest }

// Roster returns the version of the VM list that this daemon has.
func (s State) Roster() roster.Roster { return s.roster }

// RosterSince returns what changed in the VM list after a version, or the whole list if that version is not kept.
func (s State) RosterSince(version uint64) roster.Change {
	for _, old := range s.rosterHistory {
		if old.Version() == version {
			return s.roster.Since(old)
		}
	}
	return s.roster.Since(roster.Roster{})
}

// ConfirmedAt returns the latest time at which the platform had no higher version than Highest, zero if unknown.
func (s State) ConfirmedAt() time.Time { return s.confirmedAt }

// IsEstablished reports whether the highest version known is at least the one in force here before a restart.
func (s State) IsEstablished() bool { return s.established }

// IsRelaying reports whether this daemon is a relay, which watches the platform for others.
func (s State) IsRelaying() bool { return s.relaying }

// IsDeparted reports whether the named daemon was reported as leaving or unreachable within departureTTL.
func (s State) IsDeparted(name string, at time.Time) bool {
	d, ok := s.departures[name]
	return ok && at.Sub(d.recordedAt) < departureTTL
}

// Departed returns the names of the daemons for which IsDeparted holds, sorted.
func (s State) Departed(at time.Time) []string {
	var names []string
	for name := range s.departures {
		if s.IsDeparted(name, at) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Alive returns how many daemons this one has received a heartbeat from within aliveTimeout.
func (s State) Alive(at time.Time) int {
	n := 0
	for _, p := range s.peers {
		if at.Sub(p.receivedAt) < aliveTimeout {
			n++
		}
	}
	return n
}

// Beat returns the heartbeat that this daemon sends at a time.
func (s State) Beat(at time.Time) member.Heartbeat {
	age := member.Never
	if !s.confirmedAt.IsZero() {
		age = max(0, at.Sub(s.confirmedAt))
	}
	return member.New(s.self,
		member.Incarnation(s.incarnation),
		member.Address(s.address),
		member.Versions(s.Latest().Version(), s.highest, s.roster.Version()),
		member.Age(age),
		member.Leaving(s.leaving),
		member.Established(s.established),
		member.Departures(s.newestDepartures(at)...),
	)
}

// newestDepartures returns the departures to pass on, newest first, at most maxDepartures.
func (s State) newestDepartures(at time.Time) []member.Departure {
	names := s.Departed(at)
	slices.SortStableFunc(names, func(a, b string) int { return s.departures[b].recordedAt.Compare(s.departures[a].recordedAt) })
	names = names[:min(len(names), maxDepartures)]
	departures := make([]member.Departure, len(names))
	for i, name := range names {
		departures[i] = member.NewDeparture(name, s.departures[name].incarnation)
	}
	return departures
}

// targets returns the daemons to which this one sends heartbeats at intervals: its neighbours and the first reachable
// relay in its order of preference.
func (s State) targets(at time.Time) []target {
	targets := slices.Clone(s.neighbours)
	for _, vm := range s.relays {
		if s.IsDeparted(vm.Name(), at) || s.peers[vm.Name()].failures >= unreachableAfter {
			continue
		}
		i := slices.IndexFunc(targets, func(t target) bool { return t.name == vm.Name() })
		if i >= 0 {
			targets[i].interval = relayInterval
		} else {
			targets = append(targets, newTarget(vm, relayInterval))
		}
		break
	}
	return targets
}

func newTarget(vm roster.VM, interval time.Duration) target {
	return target{name: vm.Name(), address: vm.PeerAddress(), interval: interval}
}

// sources returns the peers that hold a higher version than this daemon and have had no failed call since their last
// heartbeat, the one heard from last first.
func (s State) sources() []string {
	var names []string
	for name, p := range s.peers {
		if p.beat.HeldVersion() > s.Latest().Version() && p.failures == 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(s.peers[b].receivedAt.Compare(s.peers[a].receivedAt), cmp.Compare(a, b))
	})
	return names
}

// jitter returns a duration in [0, d) that is a hash of this daemon's name and n, so that daemons and successive
// attempts are spread out.
func (s State) jitter(d time.Duration, n uint64) time.Duration {
	return time.Duration(xxhash.Sum64String(s.self+string(rune(n%0xffff))) % uint64(d))
}
