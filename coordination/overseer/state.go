package overseer

import (
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const (
	// DefaultMaxStaleness is the maximum staleness of the configuration for judging keys, unless the settings say
	// otherwise.
	DefaultMaxStaleness = 3 * time.Second
	// reregistrationTime is how long a runner whose registration lapsed during a store outage may take to register
	// again: runners do so within about 2 s.
	reregistrationTime = 2200 * time.Millisecond
	// minOutage is the shortest store outage after which registrations may have lapsed: two heartbeats of a fast
	// runner.
	minOutage = time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after which an entry counts as
	// silent and gets no more callers; single heartbeats may be missing, as datagrams get lost.
	maxMissedHeartbeats = 5
	// minHeartbeatInterval is the heartbeat interval in a small deployment: twice the gap between events of a stream,
	// so that the open work in a heartbeat is still of use when it arrives.
	minHeartbeatInterval = 200 * time.Millisecond
	// heartbeatIntervalPerPeer sets the interval in a large deployment, in proportion to the number of other entries,
	// so that each entry's control traffic does not grow with that number. Entries that are linked send each other more.
	heartbeatIntervalPerPeer = 40 * time.Millisecond
	// maxDirectEntries is the number of entries up to which all learn all news from each other's heartbeats and from the
	// store; among more, news travel along the links of package linker.
	maxDirectEntries = 12
	// deregisterAfter is how long an entry is silent before its registration is removed; a VM that was replaced does
	// not come back.
	deregisterAfter = time.Minute
)

const (
	// relayCount is how many entries poll the store at short intervals; the others learn from the heartbeats of these
	// relays how stale their configuration is.
	relayCount = 2
	// refreshAgeShare is the share of the maximum staleness after which an entry asks the store itself. What it learns
	// from relays is up to two of their watches and one heartbeat old; the rest of the time is left for the store's
	// answer.
	refreshAgeShare = 0.73
	// behindTolerance is how long another entry may report newer data before the store is asked, as an answer with that
	// data may already be in flight.
	behindTolerance = 250 * time.Millisecond
	// linkedBehindTolerance is the same for runners that are read from another entry's copy: a few such copies in a row.
	linkedBehindTolerance = 1200 * time.Millisecond
	// minRefreshInterval is the shortest time between two refreshes.
	minRefreshInterval = 300 * time.Millisecond
)

// retainedRunner is a runner whose registration may have lapsed only because the store was unreachable; it stays in use
// until it registers again or until a deadline.
type retainedRunner struct {
	runner runner.Runner
	until  time.Duration
}

// entry is another entry's registration with the last heartbeat received from it.
type entry struct {
	peer      peer.Peer
	heartbeat peer.Heartbeat
	// heardAt is when the heartbeat was received, 0 if there was none.
	heardAt time.Duration
	// listedAt is when this start of the entry was first listed.
	listedAt time.Duration
	// returnedAt is when a heartbeat followed on a pause.
	returnedAt time.Duration
	// rejoinedAt is when the entry was heard from for the first time, or again after it was silent.
	rejoinedAt time.Duration
	// silentAt is when two others reported this start silent, 0 for never, silentSince when the silence was noticed by the first, and
	// reporters are the last ones to report it.
	silentAt, silentSince time.Duration
	reporters             [2]report
	// linkedAt is when the entry became linked to this one.
	linkedAt time.Duration
	// keptUntil is until when the entry stays known although a restored store lacks it, and isUnproved says that only such a store told
	// of it, so that it may be gone until it is heard from.
	keptUntil  time.Duration
	isUnproved bool
}

// State is the control state of an entry, as an immutable value.
type State struct {
	self         peer.Peer
	maxStaleness time.Duration
	table        routing.Table
	confirmedAt  time.Duration
	hasTable     bool
	unread       unread
	runners      runner.Set
	hasRunners   bool
	// usable are the runners outside the drained data centres.
	usable      runner.Set
	evacuations evacuations
	history     history
	// runnersAt and peersAt are how far the runners and the other entries are known, runnersLast is the position of the last known
	// change of a runner, and runnersSeenAt is when the store, or a copy, last told of runners.
	runnersAt, peersAt progress
	runnersLast        position.Position
	runnersSeenAt      time.Duration
	// configBehindSince and runnersBehindSince are since when another entry reports a newer version or revision than this
	// one has, 0 if none does.
	configBehindSince, runnersBehindSince time.Duration
	// refreshedAt is when Refresh was last returned.
	refreshedAt      time.Duration
	retained         map[string]retainedRunner
	unreachableSince time.Duration
	unreachable      bool
	// recoveredAt is when the last outage of at least minOutage ended, 0 for never.
	recoveredAt time.Duration
	// peers are the other entries by name. What a pointer leads to never changes, so that maps share it.
	peers    map[string]*entry
	hasPeers bool
	leaving  bool
	// crashes are the runners lost that held unanswered requests, and parts is what is known of the parts of these, seen
	// by this entry or reported by others.
	crashes suspect.Crashes
	parts   suspect.Parts
	// cuts are the answers that runners broke off lately, of which it is not known yet whether these are lost.
	cuts suspect.Cuts
	// leavers are the runners that leave although they are registered as ready, by identifier, and drained is when the store
	// last told that runners leave or are gone, by their short keys.
	leavers map[string]leaver
	drained map[uint32]time.Duration
	// tickedAt is the time of the last tick, runningSince that of the first one or the first one after a pause, and
	// informedAt when the last heartbeat was sent that another entry is known to have received.
	tickedAt, runningSince, informedAt time.Duration
	// wasPaused says that a pause came before runningSince.
	wasPaused bool
	// suspectedAt is when another entry last reported this one silent, 0 for never.
	suspectedAt time.Duration
	// loggedFresh is the last logged result of IsFresh.
	loggedFresh bool
}

// Option sets a field of a State under construction.
type Option func(*State)

// MaxStaleness sets for how long after its last confirmation the configuration may be used to judge keys.
func MaxStaleness(d time.Duration) Option { return func(s *State) { s.maxStaleness = d } }

// New returns the state of an entry that has no configuration, runners or peers yet.
func New(self peer.Peer, options ...Option) State {
	s := State{self: self, maxStaleness: DefaultMaxStaleness, retained: map[string]retainedRunner{}, peers: map[string]*entry{}}
	for _, option := range options {
		option(&s)
	}
	return s
}

// Table returns the configuration in force, and false if there is none yet.
func (s State) Table() (routing.Table, bool) { return s.table, s.hasTable }

// Age returns the time since the configuration was last confirmed to be the newest.
func (s State) Age(now time.Duration) time.Duration { return now - s.confirmedAt }

// IsFresh reports whether the configuration is known and within the maximum staleness, so that it may be used to judge
// keys. It is not before an entry that has started knows what the others know, where the store may have been restored.
func (s State) IsFresh(now time.Duration) bool {
	return s.hasTable && s.history.isJoined && s.table.Version() >= s.history.lost && s.Age(now) < s.maxStaleness
}

// Runners returns the registered and retained runners, including those that are draining.
func (s State) Runners() runner.Set { return s.runners }

// IsLeaving reports whether this entry is about to stop.
func (s State) IsLeaving() bool { return s.leaving }

// IsReady reports whether this entry can serve callers: it has listed the runners, it knows which data centres are drained if it reads
// that, its configuration is fresh, and it is not about to stop.
func (s State) IsReady(now time.Duration) bool {
	return !s.leaving && s.hasRunners && s.KnowsEvacuations(now) && s.IsFresh(now)
}

// IsRelay reports whether this entry polls the store at short intervals. The first relayCount present entries by name
// do, and so does an entry whose configuration they have not confirmed for too long.
func (s State) IsRelay(now time.Duration) bool { return s.IsRoot(now) || s.isConfirmationDue(now) }

// IsRoot reports whether this entry is one of the first relayCount present ones by name, from which the others learn.
func (s State) IsRoot(now time.Duration) bool {
	before := 0
	for _, e := range s.others() {
		if e.peer.Name < s.self.Name && s.isPresent(e, now) {
			before++
		}
	}
	return before < relayCount
}

// refreshAge returns the age of the configuration from which this entry asks the store itself.
func (s State) refreshAge() time.Duration {
	return time.Duration(refreshAgeShare * float64(s.maxStaleness))
}

// Heartbeat returns the heartbeat to send to another entry, given this entry's open work by runner.Key.
func (s State) Heartbeat(to peer.Peer, open map[uint32]peer.InFlight, now time.Duration) peer.Heartbeat {
	return s.HeartbeatsTo([]peer.Peer{to}, open, now)[to.Beats]
}

// HeartbeatsTo returns the heartbeats to send to other entries by their addresses, as Heartbeat does for one.
func (s State) HeartbeatsTo(list []peer.Peer, open map[uint32]peer.InFlight, now time.Duration) map[string]peer.Heartbeat {
	common := peer.Heartbeat{
		Name: s.self.Name, Start: s.self.Start, Ready: s.IsReady(now), Leaving: s.leaving, ConfigVersion: s.table.Version(),
		ConfigAge: s.Age(now), ConfigEra: s.table.Position().Era, RunnersAt: s.runnersLast, HasEra: true, Sent: now,
		InFlight: open, Silences: s.silences(now),
		StoreUnreachable: s.unreachable, Leavers: s.leaversToReport(now),
		Evacuations: s.evacuations.table.Reported(now, endReportTime, maxEvacuations),
	}
	all := sync.OnceValue(func() []peer.Silence { return s.withAllSilences(common.Silences, now) })
	heartbeats := make(map[string]peer.Heartbeat, len(list))
	for _, to := range list {
		b := common
		e, _ := s.find(to.Name)
		if s.isJoining(e, now) {
			b.Silences = all()
		}
		if e.heardAt > 0 {
			b.Echo, b.EchoStart, b.EchoDelay = e.heartbeat.Sent, e.heartbeat.Start, now-e.heardAt
		}
		b.Crashes, b.Answers, b.Parts = s.crashesFor(e, now), s.answersFor(e, now), s.partsFor(e, now)
		heartbeats[to.Beats] = b
	}
	return heartbeats
}

// HeartbeatInterval returns the interval at which an entry sends heartbeats to each of the others.
func (s State) HeartbeatInterval() time.Duration {
	if !s.IsLinked() {
		return minHeartbeatInterval
	}
	return max(minHeartbeatInterval, time.Duration(len(s.peers))*heartbeatIntervalPerPeer)
}

// heartbeatTimeout returns the time since an entry's last heartbeat after which it counts as silent.
func (s State) heartbeatTimeout() time.Duration { return maxMissedHeartbeats * s.HeartbeatInterval() }

// Self returns this entry's registration.
func (s State) Self() peer.Peer { return s.self }

// Peers returns the other entries' registrations.
func (s State) Peers() []peer.Peer {
	list := make([]peer.Peer, 0, len(s.peers))
	for _, e := range s.others() {
		list = append(list, e.peer)
	}
	return list
}

// Heartbeats returns the last heartbeat of each live entry: one heard from within the heartbeat timeout, since its
// latest registered start.
func (s State) Heartbeats(now time.Duration) []peer.Heartbeat {
	var list []peer.Heartbeat
	for _, e := range s.others() {
		if s.isLive(e, now) {
			list = append(list, e.heartbeat)
		}
	}
	return list
}
