package overseer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const second = time.Second

var self = peer.Peer{Name: "b", Start: 1, Callers: "b:1", Beats: "b:2", Centre: "x", Region: "r"}

func apply(s overseer.State, events ...overseer.Event) (overseer.State, []overseer.Effect) {
	var all []overseer.Effect
	for _, e := range events {
		var effects []overseer.Effect
		s, effects = overseer.Step(s, e)
		all = append(all, effects...)
	}
	return s, all
}

func other(name, centre string) peer.Peer {
	return peer.Peer{Name: name, Start: 7, Callers: name + ":1", Beats: name + ":2", Centre: centre, Region: "r"}
}

func TestVersionNeverDecreases(t *testing.T) {
	s, _ := apply(overseer.New(self),
		overseer.ConfigReceived{Table: routing.NewTable(9), RequestedAt: second},
		overseer.ConfigReceived{Table: routing.NewTable(4), RequestedAt: 2 * second},
	)
	table, _ := s.Table()
	if table.Version() != 9 || s.Age(2*second) != second {
		t.Errorf("version %d, age %v", table.Version(), s.Age(2*second))
	}
}

func TestConfigurationAges(t *testing.T) {
	s := overseer.New(self, overseer.MaxStaleness(3*second))
	if s.IsFresh(0) {
		t.Error("fresh without a configuration")
	}
	s, _ = apply(s, overseer.ConfigReceived{Table: routing.NewTable(1), RequestedAt: 10 * second})
	for at, want := range map[time.Duration]bool{10 * second: true, 12900 * time.Millisecond: true, 13 * second: false, 60 * second: false} {
		if got := s.IsFresh(at); got != want {
			t.Errorf("at %v: %t", at, got)
		}
	}
	s, _ = apply(s, overseer.ConfigConfirmed{RequestedAt: 8 * second}, overseer.ConfigConfirmed{RequestedAt: 11 * second})
	if got := s.Age(12 * second); got != second {
		t.Errorf("age %v", got)
	}
}

// TestAgeFromAnotherEntry delivers a heartbeat that was in flight for long: the confirmation it carries counts from the
// echoed heartbeat on this entry's own clock, so that the delay does not make the configuration look newer.
func TestAgeFromAnotherEntry(t *testing.T) {
	start, _ := apply(overseer.New(self),
		overseer.PeersListed{Peers: []peer.Peer{other("a", "x")}},
		overseer.ConfigReceived{Table: routing.NewTable(5), RequestedAt: 10 * second},
	)
	beat := peer.Heartbeat{
		Name: "a", Start: 7, ConfigVersion: 5, ConfigAge: 200 * time.Millisecond, Echo: 12 * second, EchoStart: self.Start,
		EchoDelay: 100 * time.Millisecond,
	}
	for name, test := range map[string]struct {
		change func(*peer.Heartbeat)
		want   time.Duration
	}{
		"confirmed":              {func(*peer.Heartbeat) {}, 11900 * time.Millisecond},
		"without an echo":        {func(b *peer.Heartbeat) { b.Echo = 0 }, 10 * second},
		"of an older version":    {func(b *peer.Heartbeat) { b.ConfigVersion = 4 }, 10 * second},
		"of a newer version":     {func(b *peer.Heartbeat) { b.ConfigVersion = 6 }, 10 * second},
		"of a start before":      {func(b *peer.Heartbeat) { b.Start = 6 }, 10 * second},
		"echoing a start before": {func(b *peer.Heartbeat) { b.EchoStart, b.Echo = self.Start-1, 900*second }, 10 * second},
		"from the future":        {func(b *peer.Heartbeat) { b.ConfigAge = -900 * second }, 10 * second},
		"whose age is greater":   {func(b *peer.Heartbeat) { b.ConfigAge = 9 * second }, 10 * second},
	} {
		t.Run(name, func(t *testing.T) {
			b := beat
			test.change(&b)
			s, _ := apply(start, overseer.HeartbeatReceived{Heartbeat: b, At: 20 * second})
			if got := 20*second - s.Age(20*second); got != test.want {
				t.Errorf("confirmed at %v, want %v", got, test.want)
			}
		})
	}
}

func TestRefreshOfStaleState(t *testing.T) {
	start, _ := apply(overseer.New(self),
		overseer.PeersListed{Peers: []peer.Peer{other("a", "x")}},
		overseer.RunnersListed{Position: position.New(0, 50), At: 10 * second},
		overseer.ConfigReceived{Table: routing.NewTable(5), RequestedAt: 10 * second},
	)
	ask := func(b peer.Heartbeat, at ...time.Duration) []overseer.Effect {
		s, _ := apply(start, overseer.HeartbeatReceived{Heartbeat: b, At: 10 * second})
		var asked []overseer.Effect
		for _, when := range at {
			var effects []overseer.Effect
			s, effects = overseer.Step(s, overseer.Tick{At: when})
			for _, e := range effects {
				if r, ok := e.(overseer.Refresh); ok {
					asked = append(asked, r)
				}
			}
		}
		return asked
	}
	ms := time.Millisecond
	for name, test := range map[string]struct {
		beat peer.Heartbeat
		at   []time.Duration
		want []overseer.Effect
	}{
		"nothing new": {
			peer.Heartbeat{Name: "a", Start: 7, ConfigVersion: 5, RunnersAt: position.New(0, 50)}, []time.Duration{10100 * ms, 10500 * ms}, nil,
		},
		"for a moment": {peer.Heartbeat{Name: "a", Start: 7, ConfigVersion: 6}, []time.Duration{10100 * ms}, nil},
		"newer configuration": {
			peer.Heartbeat{Name: "a", Start: 7, ConfigVersion: 6}, []time.Duration{10100 * ms, 10400 * ms, 10500 * ms},
			[]overseer.Effect{overseer.Refresh{Config: true}},
		},
		"newer runners": {
			peer.Heartbeat{Name: "a", Start: 7, ConfigVersion: 5, RunnersAt: position.New(0, 51)}, []time.Duration{10100 * ms, 10400 * ms},
			[]overseer.Effect{overseer.Refresh{Runners: true}},
		},
		"nobody confirms": {
			peer.Heartbeat{Name: "a", Start: 7, ConfigVersion: 5}, []time.Duration{12100 * ms, 12300 * ms},
			[]overseer.Effect{overseer.Refresh{Config: true}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, ask(test.beat, test.at...)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func removal(id string) listing.Change[runner.Runner] {
	return listing.Change[runner.Runner]{Name: id, Removed: true}
}

// TestLapsedRegistrations guards against dropping runners whose registration lapsed during a store outage: such a
// runner has about 2 s to register again. At any other time a removed runner is dropped at once.
func TestLapsedRegistrations(t *testing.T) {
	one, two := runner.New("1", "s", "h:1"), runner.New("2", "s", "h:2")
	start, _ := apply(overseer.New(self), overseer.RunnersListed{Runners: []runner.Runner{one, two}, At: second})
	s, _ := apply(start, overseer.RunnersChanged{Changes: []listing.Change[runner.Runner]{removal("1")}, At: 2 * second})
	if len(s.Runners().OfService("s")) != 1 {
		t.Error("a runner that was removed is still used")
	}
	s, _ = apply(start,
		overseer.StoreUnreachable{At: 2 * second},
		overseer.RunnersListed{Runners: []runner.Runner{two}, At: 6 * second},
		overseer.Tick{At: 8 * second},
	)
	if len(s.Runners().OfService("s")) != 2 {
		t.Error("a runner whose registration lapsed in an outage is dropped at once")
	}
	back, _ := apply(s, overseer.RunnersChanged{Changes: []listing.Change[runner.Runner]{{Name: "1", Valid: true, Item: one}}, At: 8 * second},
		overseer.Tick{At: 9 * second})
	if len(back.Runners().OfService("s")) != 2 {
		t.Error("a runner that registered again is not used")
	}
	s, _ = apply(s, overseer.Tick{At: 8300 * time.Millisecond})
	if len(s.Runners().OfService("s")) != 1 {
		t.Error("a runner that did not register again is still used")
	}
}

func TestUndecodableRegistrationCountsAsAbsent(t *testing.T) {
	s, _ := apply(overseer.New(self),
		overseer.RunnersListed{Runners: []runner.Runner{runner.New("1", "s", "h:1")}, At: second},
		overseer.RunnersChanged{Changes: []listing.Change[runner.Runner]{{Name: "1"}}, At: 2 * second},
	)
	if s.Runners().Len() != 0 {
		t.Error("a runner whose registration cannot be decoded is used")
	}
}

func TestAddresses(t *testing.T) {
	now := 10 * second
	start, _ := apply(overseer.New(self),
		overseer.PeersListed{Peers: []peer.Peer{other("a", "x"), other("c", "y"), other("d", "y"), other("e", "y")}, At: second},
		overseer.RunnersListed{At: now},
		overseer.ConfigReceived{Table: routing.NewTable(5), RequestedAt: now},
	)
	for name, test := range map[string]struct {
		beats []peer.Heartbeat
		leave bool
		want  []string
	}{
		"nobody heard": {want: []string{"b:1"}},
		"near ones": {
			beats: []peer.Heartbeat{{Name: "a", Start: 7, Ready: true}, {Name: "c", Start: 7, Ready: true}}, want: []string{"a:1", "b:1"},
		},
		"too few near": {
			beats: []peer.Heartbeat{{Name: "a", Start: 7}, {Name: "c", Start: 7, Ready: true}, {Name: "d", Start: 7, Ready: true, Leaving: true}},
			want:  []string{"b:1", "c:1"},
		},
		"leaving itself": {beats: []peer.Heartbeat{{Name: "c", Start: 7, Ready: true}}, leave: true, want: []string{"c:1"}},
		"nobody ready":   {leave: true, want: []string{"a:1", "b:1", "c:1", "d:1", "e:1"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := start
			for _, b := range test.beats {
				s, _ = apply(s, overseer.HeartbeatReceived{Heartbeat: b, At: now})
			}
			if test.leave {
				s, _ = apply(s, overseer.Leave{})
			}
			if diff := cmp.Diff(test.want, s.Addresses("x", "r", now)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDirectoryWithoutReadyEntriesLeavesOutSilentOnes guards against callers that are sent to dead entries as no live one is ready.
func TestDirectoryWithoutReadyEntriesLeavesOutSilentOnes(t *testing.T) {
	now := 10 * second
	peers := []peer.Peer{other("a", "x"), other("c", "y"), other("d", "y")}
	start, _ := apply(overseer.New(self), overseer.PeersListed{Peers: peers, At: second})
	if diff := cmp.Diff([]string{"a:1", "b:1", "c:1", "d:1"}, start.Addresses("x", "r", now)); diff != "" {
		t.Errorf("without another one: %s", diff)
	}
	s, _ := apply(start, overseer.HeartbeatReceived{Heartbeat: peer.Heartbeat{Name: "c", Start: 7}, At: now})
	if diff := cmp.Diff([]string{"b:1", "c:1"}, s.Addresses("x", "r", now)); diff != "" {
		t.Errorf("with a live one: %s", diff)
	}
}

// TestCrashesSpreadAndRefuse has two entries see runners lost under one request and exchange a heartbeat: the third
// loss makes the entry that learns of it refuse the request, whichever entry saw it, until the crashes expire.
func TestCrashesSpreadAndRefuse(t *testing.T) {
	const poison, innocent = suspect.Fingerprint("poison"), suspect.Fingerprint("innocent")
	crash := func(f suspect.Fingerprint, runner string, at time.Duration) overseer.RunnerCrashed {
		return overseer.RunnerCrashed{Fingerprint: f, Runner: runner, At: at}
	}
	a, b := other("a", "x"), self
	first, _ := apply(overseer.New(a), overseer.PeersListed{Peers: []peer.Peer{b}, At: second})
	here, _ := apply(overseer.New(b), overseer.PeersListed{Peers: []peer.Peer{a}, At: 101 * second})
	// The other entry's clock is 100 s behind.
	first, _ = apply(first,
		crash(poison, "r1", 10*second), crash(poison, "r2", 10*second), crash(innocent, "r1", 10*second),
		crash(poison, "r2", 10*second+100*time.Millisecond))
	if _, refused := first.RefusedUntil(poison); refused {
		t.Error("refused after two lost runners")
	}
	here, _ = apply(here, crash(poison, "r3", 110*second),
		overseer.HeartbeatReceived{Heartbeat: first.Heartbeat(b, nil, 11*second), At: 111 * second},
		overseer.HeartbeatReceived{Heartbeat: first.Heartbeat(b, nil, 11*second), At: 111 * second})
	until, refused := here.RefusedUntil(poison)
	if !refused || until != 110*second+100*time.Millisecond+suspect.CrashRetention && until != 110*second+suspect.CrashRetention {
		t.Errorf("refused %t until %v", refused, until)
	}
	if _, refused := here.RefusedUntil(innocent); refused {
		t.Error("a request that lost only one runner is refused")
	}
	if got := here.Heartbeat(a, nil, 120*second).Crashes; len(got) != 0 {
		t.Errorf("expired reports are still sent: %v", got)
	}
	here, _ = apply(here, overseer.Tick{At: 112*second + suspect.CrashRetention})
	if _, refused := here.RefusedUntil(poison); refused || here.HasCrashes() {
		t.Error("crashes do not expire")
	}
}

// TestNewEntryLearnsOfCrashes lists an entry long after the crashes: its heartbeat reports them all the same.
func TestNewEntryLearnsOfCrashes(t *testing.T) {
	s, _ := apply(overseer.New(self),
		overseer.RunnerCrashed{Fingerprint: "poison", Runner: "r1", At: second},
		overseer.RunnerCrashed{Fingerprint: "poison", Runner: "r2", At: second},
		overseer.RunnerCrashed{Fingerprint: "poison", Runner: "r3", At: second},
		overseer.PeersListed{Peers: []peer.Peer{other("a", "x")}, At: 60 * second})
	if got := s.Heartbeat(other("a", "x"), nil, 61*second).Crashes; len(got) != 3 {
		t.Errorf("reported %v, want all three crashes", got)
	}
}

// TestRefreshBeforeMaxStaleness leaves the configuration unconfirmed: whatever the maximum staleness, the store is
// asked while at least a third of a second is left for its answer.
func TestRefreshBeforeMaxStaleness(t *testing.T) {
	for _, trust := range []time.Duration{1800 * time.Millisecond, 3 * second, 6 * second} {
		t.Run(trust.String(), func(t *testing.T) {
			s, _ := apply(overseer.New(self, overseer.MaxStaleness(trust)),
				overseer.RunnersListed{At: 10 * second}, overseer.ConfigReceived{Table: routing.NewTable(5), RequestedAt: 10 * second})
			for at := 10 * second; at < 10*second+trust-second/3; at += 100 * time.Millisecond {
				var effects []overseer.Effect
				s, effects = overseer.Step(s, overseer.Tick{At: at})
				for _, e := range effects {
					if r, ok := e.(overseer.Refresh); ok && r.Config {
						return
					}
				}
			}
			t.Error("the store was not asked in time")
		})
	}
}

// TestHeartbeatTimeoutScales has many entries send heartbeats at the interval for their number: none counts as silent
// between two of its heartbeats, and all do after five missed ones.
func TestHeartbeatTimeoutScales(t *testing.T) {
	for _, entries := range []int{7, 40, 150, 1000} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			list := make([]peer.Peer, 0, entries-1)
			for n := range entries - 1 {
				list = append(list, other(fmt.Sprintf("e-%04d", n), "x"))
			}
			s, _ := apply(overseer.New(self), overseer.PeersListed{Peers: list, At: second})
			interval := s.HeartbeatInterval()
			at := 100 * second
			for range 3 {
				for _, p := range list {
					s, _ = apply(s, overseer.HeartbeatReceived{Heartbeat: peer.Heartbeat{Name: p.Name, Start: p.Start, Ready: true, Sent: second}, At: at})
				}
				at += interval
			}
			if got := len(s.Heartbeats(at)); got != entries-1 {
				t.Errorf("%d of %d count as live after an interval of %v", got, entries-1, interval)
			}
			if got := len(s.Heartbeats(at + 5*interval)); got != 0 {
				t.Errorf("%d still count as live after five missed heartbeats", got)
			}
		})
	}
}
