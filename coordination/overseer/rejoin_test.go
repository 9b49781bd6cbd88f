package overseer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/routing"
)

const (
	// calmTime is how long an entry must run undisturbed until its answers to callers have to be right, and deadTime how long another one
	// must be dead for that not to be in them.
	calmTime = 4 * time.Second
	deadTime = calmTime + 3*time.Second
)

// restart starts an entry anew: it knows the registrations only, of all entries that ever registered.
func (f *fleet) restart(name string) {
	p := f.peers[name]
	p.Start++
	f.peers[name] = p
	f.down[name] = false
	list := make([]peer.Peer, 0, len(f.peers))
	for _, registered := range f.peers {
		list = append(list, registered)
	}
	f.states[name], _ = apply(overseer.New(p, overseer.MaxStaleness(3*time.Second)),
		overseer.PeersListed{Peers: list, Position: position.New(0, 6), At: f.now},
		overseer.RunnersListed{Position: position.New(0, 6), At: f.now},
		overseer.ConfigReceived{Table: routing.NewTable(9), RequestedAt: f.now})
	for _, to := range f.names {
		if to != name && !f.down[to] {
			f.deliver(to, overseer.PeersChanged{
				Changes: []listing.Change[peer.Peer]{{Name: name, Valid: true, Item: p}}, Position: position.New(0, 7), At: f.now,
			})
		}
	}
}

// isNamed reports whether an entry names another one to callers.
func (f *fleet) isNamed(by, name string) bool {
	return slices.Contains(f.states[by].Addresses(f.peers[name].Centre, "r", f.now), f.peers[name].Callers)
}

// TestEntryThatJoinsLearnsWhoIsSilent guards against callers that are sent to entries that have long been dead, by one that was not there
// when the others noticed: it started later, was paused, or was cut off.
func TestEntryThatJoinsLearnsWhoIsSilent(t *testing.T) {
	start, goOn := (*fleet).restart, func(f *fleet, name string) { f.down[name] = false }
	for name, test := range map[string]struct {
		entries, joining int
		dead             []int
		// away is how long the entry is down, from shortly before the death on, and joins has it go on.
		away  time.Duration
		joins func(f *fleet, name string)
	}{
		"started":               {64, 23, []int{20}, 8 * time.Second, start},
		"started, many dead":    {40, 23, []int{2, 7, 12, 17, 22, 27, 32, 37}, 8 * time.Second, start},
		"started much later":    {40, 23, []int{20}, 40 * time.Second, start},
		"started, relays dead":  {40, 23, []int{0, 5}, 8 * time.Second, start},
		"started, relay itself": {40, 0, []int{5}, 8 * time.Second, start},
		"paused":                {64, 23, []int{20}, 5 * time.Second, goOn},
		"paused for a moment":   {40, 23, []int{20}, 3 * time.Second, goOn},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, test.entries)
			f.run(15 * time.Second)
			joining := f.names[test.joining]
			f.down[joining] = true
			f.run(200 * time.Millisecond)
			for _, i := range test.dead {
				f.down[f.names[i]] = true
			}
			died := f.now
			f.run(test.away)
			test.joins(f, joining)
			for joined := f.now; f.now-joined < 20*time.Second; f.run(250 * time.Millisecond) {
				if f.now-joined <= calmTime || f.now-died <= deadTime {
					continue
				}
				for _, i := range test.dead {
					if f.isNamed(joining, f.names[i]) {
						t.Fatalf("%s, which joined %v ago, names %s, dead for %v", joining, f.now-joined, f.names[i], f.now-died)
					}
				}
			}
			for name, by := range f.views() {
				if !f.down[name] {
					t.Errorf("%s lives and is excluded by %d of %d", name, by, len(f.names)-len(test.dead))
				}
			}
		})
	}
}

// TestOutdatedReportsOfASilence guards against an entry that is taken for dead by reports of a silence that has ended, as others that have
// not heard from it yet still pass them on.
func TestOutdatedReportsOfASilence(t *testing.T) {
	f := newFleet(t, 40)
	f.run(3 * time.Second)
	viewer, subject := f.names[39], f.names[1]
	heard := func(from string, silences ...peer.Silence) {
		b := f.states[from].Heartbeat(f.peers[viewer], nil, f.now)
		b.Ready, b.Silences = true, silences
		f.deliver(viewer, overseer.HeartbeatReceived{Heartbeat: b, At: f.now})
	}
	for _, test := range []struct {
		age     time.Duration
		isNamed bool
	}{{3 * time.Second, true}, {time.Second, true}, {900 * time.Millisecond, false}} {
		heard(subject)
		f.now += time.Second
		silence := peer.Silence{Name: subject, Start: f.peers[subject].Start, Age: test.age}
		heard(f.names[2], silence)
		heard(f.names[3], silence)
		if got := f.isNamed(viewer, subject); got != test.isNamed {
			t.Errorf("noticed %v ago, heard from 1s ago: named %t", test.age, got)
		}
	}
	f.now += step
	heard(subject)
	if !f.isNamed(viewer, subject) {
		t.Error("not named after it was heard from")
	}
}
