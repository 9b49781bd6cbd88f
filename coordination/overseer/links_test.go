package overseer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	// lossRate is the share of datagrams that are lost.
	lossRate = 0.025
	// noticeTime is how soon after an entry died it must be out of the answers to callers.
	noticeTime = 3 * time.Second
	step       = 100 * time.Millisecond
)

// fleet is many entries that exchange heartbeats in simulated time.
type fleet struct {
	t      *testing.T
	random *rand.Rand
	names  []string
	peers  map[string]peer.Peer
	states map[string]overseer.State
	// down are the entries that neither send nor receive.
	down map[string]bool
	now  time.Duration
	// round counts the rounds of heartbeats of each entry.
	round     int
	refreshes int
	// lossRate is the share of datagrams that are lost, and onRunnersRefresh is called when an entry asks the store for runners.
	lossRate         float64
	onRunnersRefresh func(name string)
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(20261204, uint64(n))), peers: map[string]peer.Peer{}, states: map[string]overseer.State{},
		down: map[string]bool{}, now: 100 * time.Second, lossRate: lossRate, onRunnersRefresh: func(string) {},
	}
	list := make([]peer.Peer, 0, n)
	for i := range n {
		p := other(fmt.Sprintf("e-%d-%03d", i%5, i), fmt.Sprint("z-", i%5))
		list, f.names, f.peers[p.Name] = append(list, p), append(f.names, p.Name), p
	}
	for _, p := range list {
		f.states[p.Name], _ = apply(overseer.New(p, overseer.MaxStaleness(3*time.Second)),
			overseer.PeersListed{Peers: list, At: f.now}, overseer.RunnersListed{Position: position.New(0, 5), At: f.now},
			overseer.ConfigReceived{Table: routing.NewTable(9), RequestedAt: f.now})
	}
	return f
}

func (f *fleet) deliver(name string, e overseer.Event) {
	var effects []overseer.Effect
	f.states[name], effects = overseer.Step(f.states[name], e)
	for _, effect := range effects {
		r, is := effect.(overseer.Refresh)
		if is && r.Config {
			f.refreshes++
		}
		if is && r.Runners {
			f.onRunnersRefresh(name)
		}
	}
}

// run advances the time. Entries tick, send heartbeats in every second step, and relays confirm their configuration.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		f.round++
		for i, name := range f.names {
			if f.down[name] {
				continue
			}
			f.deliver(name, overseer.Tick{At: f.now})
			if f.states[name].IsRelay(f.now) && f.round%5 == 0 {
				f.deliver(name, overseer.ConfigConfirmed{RequestedAt: f.now - 500*time.Millisecond})
			}
			if (f.round+i)%2 == 0 {
				f.beat(name)
			}
		}
	}
}

// beat sends an entry's heartbeats as the gateway does: to linked entries each time, to others in some rounds.
func (f *fleet) beat(name string) {
	s := f.states[name]
	to := s.Linked(f.now)
	rounds := int(s.HeartbeatInterval() / s.LinkInterval())
	for _, p := range s.Peers() {
		if (f.round/2+int(runner.Key(p.Name)))%max(1, rounds) == 0 && !slices.Contains(to, p) {
			to = append(to, p)
		}
	}
	for _, p := range to {
		if !f.down[p.Name] && f.random.Float64() >= f.lossRate {
			f.deliver(p.Name, overseer.HeartbeatReceived{Heartbeat: s.Heartbeat(p, nil, f.now), At: f.now + 2*time.Millisecond})
		}
	}
}

// views returns how many live entries exclude each entry from their answers to callers in its data centre.
func (f *fleet) views() map[string]int {
	excluded := map[string]int{}
	for _, viewer := range f.names {
		if f.down[viewer] {
			continue
		}
		offered := map[string][]string{}
		for _, name := range f.names {
			centre := f.peers[name].Centre
			if offered[centre] == nil {
				offered[centre] = f.states[viewer].Addresses(centre, "r", f.now)
			}
			if !slices.Contains(offered[centre], f.peers[name].Callers) {
				excluded[name]++
			}
		}
	}
	return excluded
}

// TestNewsReachAllAlongLinks runs entries that lose some datagrams: the confirmations of two relays keep all others from
// asking the store, and nobody takes a live entry for dead.
func TestNewsReachAllAlongLinks(t *testing.T) {
	for _, n := range []int{20, 60, 148} {
		t.Run(fmt.Sprint(n, " entries"), func(t *testing.T) {
			f := newFleet(t, n)
			f.run(2 * time.Second)
			f.refreshes = 0
			for range 8 {
				f.run(500 * time.Millisecond)
				if got := f.views(); len(got) > 0 {
					t.Errorf("live entries are excluded: %v", got)
				}
			}
			if f.refreshes > n/20 {
				t.Errorf("%d refreshes from the store", f.refreshes)
			}
			for name, s := range f.states {
				if s.Age(f.now) > 2200*time.Millisecond {
					t.Errorf("%s was last confirmed %v ago", name, s.Age(f.now))
				}
			}
		})
	}
}

// TestDeathIsNoticedByAll kills single entries, the two relays, and a data centre: within 3 s nobody sends callers to
// them, and no live entry is excluded.
func TestDeathIsNoticedByAll(t *testing.T) {
	for name, die := range map[string]func(i int) bool{
		"one":           func(i int) bool { return i == 33 },
		"a pair":        func(i int) bool { return i == 30 || i == 35 },
		"both relays":   func(i int) bool { return i == 0 || i == 5 },
		"a data centre": func(i int) bool { return i%5 == 2 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 60)
			f.run(3 * time.Second)
			for i, entry := range f.names {
				f.down[entry] = die(i)
			}
			f.run(noticeTime)
			excluded := f.views()
			live := 0
			for _, entry := range f.names {
				if !f.down[entry] {
					live++
				}
			}
			for _, entry := range f.names {
				if want := map[bool]int{true: live}[f.down[entry]]; excluded[entry] != want {
					t.Errorf("%s is excluded by %d of %d", entry, excluded[entry], live)
				}
			}
		})
	}
}

// TestPausedEntryComesBack pauses an entry for 2 s, in which it is taken for dead: soon after it goes on, callers are sent
// to it again.
func TestPausedEntryComesBack(t *testing.T) {
	f := newFleet(t, 60)
	f.run(3 * time.Second)
	paused := f.names[33]
	f.down[paused] = true
	f.run(2 * time.Second)
	if got := f.views()[paused]; got < 30 {
		t.Errorf("excluded by %d while it is paused", got)
	}
	f.down[paused] = false
	f.run(2 * time.Second)
	if got := f.views()[paused]; got != 0 {
		t.Errorf("excluded by %d after it went on", got)
	}
}

// TestRelayedOutageKeepsRunners has an entry that reads from the copies of others: it must keep runners whose
// registrations lapse in an outage of the store that only the entry above sees.
func TestRelayedOutageKeepsRunners(t *testing.T) {
	f := newFleet(t, 30)
	child := f.names[len(f.names)-1]
	f.run(2 * time.Second)
	parents := f.states[child].Parents(f.now)
	if len(parents) != 2 {
		t.Fatalf("%d parents", len(parents))
	}
	one := runner.New("1", "s", "h:1")
	f.deliver(child, overseer.RunnersListed{Runners: []runner.Runner{one}, Position: position.New(0, 6), At: f.now})
	down := peer.Heartbeat{Name: parents[0].Name, Start: parents[0].Start, Ready: true, StoreUnreachable: true}
	f.deliver(child, overseer.HeartbeatReceived{Heartbeat: down, At: f.now})
	f.deliver(child, overseer.RunnersListed{Position: position.New(0, 7), At: f.now + 3*time.Second})
	if len(f.states[child].Runners().OfService("s")) != 1 {
		t.Error("a runner whose registration lapsed is dropped at once")
	}
	f.deliver(child, overseer.Tick{At: f.now + 6*time.Second})
	if len(f.states[child].Runners().OfService("s")) != 0 {
		t.Error("a runner that did not register again is still used")
	}
}

// TestManyEntriesAreAllOffered has more entries in a data centre than an answer holds: the answers of all entries together
// offer each of them.
func TestManyEntriesAreAllOffered(t *testing.T) {
	f := newFleet(t, 5*90)
	offered := map[string]bool{}
	for _, name := range f.names {
		list := f.states[name].Addresses("z-1", "r", f.now)
		if len(list) != overseer.MaxAddresses {
			t.Fatalf("%d addresses", len(list))
		}
		for _, a := range list {
			offered[a] = true
		}
	}
	if len(offered) != 90 {
		t.Errorf("%d of 90 entries are offered", len(offered))
	}
}
