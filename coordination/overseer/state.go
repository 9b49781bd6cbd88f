package overseer

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const (
	// DefaultTrust is how old the knowledge of keys may be unless the settings say otherwise.
	DefaultTrust = 3 * time.Second
	// returnTime is how long a registration that lapsed while the store was away may take to come back: the platform
	// says about two seconds.
	returnTime = 2200 * time.Millisecond
	// outage is how long the store has to be away before lapsed registrations are waited for: a fast runner's two heartbeats.
	outage = time.Second
	// silentBeats is how many heartbeats may be missed before callers are not sent to an entry: datagrams get lost.
	silentBeats = 5
	// beatEvery is how often an entry speaks to each other one while there are few: twice a pause between events, so that what
	// it says of open work is of use.
	beatEvery = 200 * time.Millisecond
	// beatPerPeer is what each further entry adds to that, so that control traffic does not grow with their number.
	beatPerPeer = 10 * time.Millisecond
	// forgetAfter is how long an entry is unheard before its registration is removed; replaced VMs are gone for good.
	forgetAfter = time.Minute
)

const (
	// relays is how many entries ask the store at short intervals; the others learn from them how new their knowledge is.
	relays = 2
	// relayedShare is the share of the time to trust keys after which an entry asks the store itself: what it learns from
	// relays is up to two of their watches and a beat old, and the rest is left for the answer.
	relayedShare = 0.73
	// behindTime is how long another entry may know more before the store is asked anew: an answer may be on its way.
	behindTime = 250 * time.Millisecond
	// refreshEvery is the least time between two such questions.
	refreshEvery = 300 * time.Millisecond
)

// doubt is a runner whose registration went while the store was away.
type doubt struct {
	runner runner.Runner
	until  time.Duration
}

// entry is another entry.
type entry struct {
	peer  peer.Peer
	beat  peer.Beat
	heard time.Duration
	// since is when it was first listed.
	since time.Duration
}

// State is what an entry believes.
type State struct {
	self      peer.Peer
	trust     time.Duration
	table     routing.Table
	confirmed time.Duration
	known     bool
	runners   runner.Set
	listed    bool
	// runnersAsOf is the store's revision up to which all changes of runners are known, runnersLast that of the last one.
	runnersAsOf, runnersLast uint64
	// behind is since when another entry knows of a change that this one does not, 0 for never.
	behind time.Duration
	// refreshed is when the store was last asked anew.
	refreshed time.Duration
	doubts    map[string]doubt
	lostSince time.Duration
	lost      bool
	returned  time.Duration
	peers     map[string]entry
	leaving   bool
	// crashes are the losses of runners under requests, seen here or heard of.
	crashes suspect.Crashes
	// fresh is what Noted last said of the configuration's age.
	fresh bool
}

// Option sets a field of a State under construction.
type Option func(*State)

// Trust sets how old the knowledge of keys may be.
func Trust(d time.Duration) Option { return func(s *State) { s.trust = d } }

// New returns the state of an entry that knows nothing but itself.
func New(self peer.Peer, options ...Option) State {
	s := State{self: self, trust: DefaultTrust, doubts: map[string]doubt{}, peers: map[string]entry{}}
	for _, option := range options {
		option(&s)
	}
	return s
}

// Table returns the configuration in force, and false if none is known.
func (s State) Table() (routing.Table, bool) { return s.table, s.known }

// Age returns how old the knowledge is that the configuration is the newest.
func (s State) Age(now time.Duration) time.Duration { return now - s.confirmed }

// IsFresh reports whether keys may be judged by the configuration.
func (s State) IsFresh(now time.Duration) bool { return s.known && s.Age(now) < s.trust }

// Runners returns the runners that may get work and those that leave.
func (s State) Runners() runner.Set { return s.runners }

// IsLeaving reports whether this entry is about to stop.
func (s State) IsLeaving() bool { return s.leaving }

// IsReady reports whether this entry can serve callers.
func (s State) IsReady(now time.Duration) bool { return !s.leaving && s.listed && s.IsFresh(now) }

// IsRelay reports whether this entry asks the store at short intervals: the first entries by name that are heard do, and
// one that does not learn from them how new its knowledge is.
func (s State) IsRelay(now time.Duration) bool {
	before := 0
	for _, b := range s.Beats(now) {
		if b.Name < s.self.Name {
			before++
		}
	}
	return before < relays || s.Age(now) > s.relayedAge()
}

// relayedAge is the age of the knowledge of keys from which this entry asks the store itself.
func (s State) relayedAge() time.Duration { return time.Duration(relayedShare * float64(s.trust)) }

// Beat returns the heartbeat for another entry, given the open work by runner.
func (s State) Beat(to peer.Peer, open map[uint32]peer.Open, now time.Duration) peer.Beat {
	b := peer.Beat{
		Name: s.self.Name, Start: s.self.Start, Ready: s.IsReady(now), Leaving: s.leaving, Version: s.table.Version(),
		Age: s.Age(now), Runners: s.runnersLast, Sent: now, Open: open,
	}
	e := s.peers[to.Name]
	if e.heard > 0 {
		b.Echo, b.EchoStart, b.Held = e.beat.Sent, e.beat.Start, now-e.heard
	}
	b.Crashes = s.news(e, now)
	return b
}

// BeatEvery returns how often an entry speaks to each of the others.
func (s State) BeatEvery() time.Duration {
	return max(beatEvery, time.Duration(len(s.peers))*beatPerPeer)
}

// silence returns how long an entry may be unheard before it is taken for silent.
func (s State) silence() time.Duration { return silentBeats * s.BeatEvery() }

// Self returns this entry's registration.
func (s State) Self() peer.Peer { return s.self }

// Peers returns the other entries' registrations.
func (s State) Peers() []peer.Peer {
	list := make([]peer.Peer, 0, len(s.peers))
	for _, e := range s.peers {
		list = append(list, e.peer)
	}
	return list
}

// Beats returns the last beats of the entries that were heard lately.
func (s State) Beats(now time.Duration) []peer.Beat {
	var list []peer.Beat
	for _, e := range s.peers {
		if e.heard > 0 && now-e.heard < s.silence() && e.beat.Start == e.peer.Start {
			list = append(list, e.beat)
		}
	}
	return list
}
