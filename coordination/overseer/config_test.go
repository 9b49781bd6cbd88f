package overseer_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/routing"
)

// TestUnreadVersionConfirmsNothing guards against keys that stay in force as the version that takes them away cannot be read: the one in
// force is not the newest, whoever says that no other follows.
func TestUnreadVersionConfirmsNothing(t *testing.T) {
	version := func(n, revision uint64, requestedAt time.Duration) overseer.Event {
		return overseer.ConfigReceived{Table: routing.NewTable(n, routing.At(position.New(0, revision))), RequestedAt: requestedAt}
	}
	start, _ := apply(overseer.New(self, overseer.MaxStaleness(3*second)),
		overseer.PeersListed{Peers: []peer.Peer{other("a", "x")}}, version(7, 40, 10*second))
	unread := overseer.ConfigUnread{Position: position.New(0, 45), RequestedAt: 11 * second}
	listed := overseer.ConfigUnread{Position: position.New(0, 50), RequestedAt: 12 * second}
	confirmed := overseer.ConfigConfirmed{RequestedAt: 12 * second}
	beat := overseer.HeartbeatReceived{At: 13 * second, Heartbeat: peer.Heartbeat{
		Name: "a", Start: 7, ConfigVersion: 7, Echo: 12 * second, EchoStart: self.Start,
	}}
	for name, test := range map[string]struct {
		events   []overseer.Event
		isUnread bool
		age      time.Duration
		version  uint64
	}{
		"read":                       {[]overseer.Event{confirmed}, false, 2 * second, 7},
		"unread":                     {[]overseer.Event{unread, confirmed, beat}, true, 4 * second, 7},
		"unread, listed again":       {[]overseer.Event{unread, listed, confirmed}, true, 4 * second, 7},
		"unread, then read":          {[]overseer.Event{unread, version(11, 46, 12*second)}, false, 2 * second, 11},
		"unread, then a copy":        {[]overseer.Event{unread, version(11, 46, 0), confirmed}, false, 2 * second, 11},
		"unread, then an older copy": {[]overseer.Event{unread, version(7, 40, 0), confirmed}, true, 4 * second, 7},
		"unread in an older copy": {[]overseer.Event{
			overseer.ConfigUnread{Position: position.New(0, 39)}, confirmed,
		}, false, 2 * second, 7},
		"unread in a newer copy":        {[]overseer.Event{overseer.ConfigUnread{Position: position.New(0, 45)}, confirmed}, true, 4 * second, 7},
		"the store went back, and read": {[]overseer.Event{unread, version(6, 3, 12*second), confirmed}, false, 2 * second, 7},
		"read between":                  {[]overseer.Event{version(9, 44, 0), unread, confirmed}, true, 4 * second, 9},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := apply(start, test.events...)
			table, _ := s.Table()
			if s.IsConfigUnread() != test.isUnread || s.Age(14*second) != test.age || table.Version() != test.version {
				t.Errorf("unread %t, age %v, version %d", s.IsConfigUnread(), s.Age(14*second), table.Version())
			}
		})
	}
}

// TestUnreadVersionIsToldOnce guards against a log line and a metric for each reading of the same version.
func TestUnreadVersionIsToldOnce(t *testing.T) {
	s, _ := apply(overseer.New(self), overseer.ConfigReceived{Table: routing.NewTable(7, routing.At(position.New(0, 4))), RequestedAt: second})
	unread := overseer.ConfigUnread{Position: position.New(0, 5), RequestedAt: 2 * second}
	s, effects := apply(s, unread, unread, overseer.ConfigUnread{Position: position.New(0, 9), RequestedAt: 3 * second})
	if len(effects) != 2 || effects[0] != (overseer.Unread{}) {
		t.Errorf("unread: %+v", effects)
	}
	_, effects = apply(s, overseer.ConfigReceived{Table: routing.NewTable(7, routing.At(position.New(0, 10))), RequestedAt: 4 * second})
	if len(effects) != 2 || effects[0] != (overseer.Unread{Ended: true}) {
		t.Errorf("read again: %+v", effects)
	}
}

// TestUnreadVersionDoesNotLoadTheStore guards against entries that all ask the store at the shortest interval for a version that none of
// them can read, and against one that never asks again.
func TestUnreadVersionDoesNotLoadTheStore(t *testing.T) {
	f := newFleet(t, 60)
	f.run(2 * second)
	for _, name := range f.names {
		f.deliver(name, overseer.ConfigUnread{Position: position.New(0, 9), RequestedAt: f.now})
	}
	f.run(5 * second)
	f.refreshes = 0
	asked := map[string]bool{}
	for range 30 {
		f.run(second)
		for _, name := range f.names {
			if s := f.states[name]; s.IsRelay(f.now) && !s.IsRoot(f.now) {
				asked[name] = true
			}
		}
	}
	// At most four refreshes in each of three windows.
	if f.refreshes > 60*3*4 {
		t.Errorf("%d refreshes of 60 entries in 30 s", f.refreshes)
	}
	if len(asked) < 50 {
		t.Errorf("%d of 60 entries asked the store themselves in 30 s", len(asked))
	}
}
