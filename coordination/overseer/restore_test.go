package overseer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/evacuation"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const ms = time.Millisecond

// Positions before and after a restore of the store; the second one was given out in both histories.
var (
	before  = position.New(1, 150)
	after   = position.New(2, 130)
	written = position.New(2, 150)
)

// readAt returns the state of an entry that knows another one and has read the store at a position.
func readAt(at position.Position, version uint64, drained []string, runners ...runner.Runner) overseer.State {
	list := make([]evacuation.Evacuation, 0, len(drained))
	for _, centre := range drained {
		list = append(list, evacuation.Evacuation{Centre: centre, Position: at})
	}
	s, _ := apply(overseer.New(peer.Peer{Name: "e1", Start: 1, Callers: "c1"}, overseer.Evacuations(5*time.Second, 0)),
		overseer.Tick{At: second},
		overseer.PeersListed{Peers: []peer.Peer{{Name: "e1", Start: 1}, other("e2", "z")}, Position: at, At: second},
		overseer.RunnersListed{Runners: runners, Position: at, At: second},
		overseer.EvacuationsListed{Evacuations: list, Position: at, RequestedAt: second, At: second},
		overseer.ConfigReceived{Table: routing.NewTable(version, routing.At(at)), RequestedAt: second},
		heard(at, version, second))
	return s
}

// heard returns the heartbeat of the other entry, which has a version in force that it read last in the era of a position.
func heard(at position.Position, version uint64, now time.Duration) overseer.HeartbeatReceived {
	return overseer.HeartbeatReceived{At: now, Heartbeat: peer.Heartbeat{
		Name: "e2", Start: other("e2", "z").Start, Ready: true, ConfigVersion: version, ConfigEra: at.Era, RunnersAt: at, HasEra: true,
	}}
}

func table(version uint64, at position.Position) routing.Table {
	return routing.NewTable(version, routing.At(at))
}

// TestConfigurationAfterARestore guards against a configuration that goes back with the store, and against a version that is confirmed
// although the store had a newer one before.
func TestConfigurationAfterARestore(t *testing.T) {
	const at = 2 * second
	older := overseer.ConfigReceived{Table: table(6, after), RequestedAt: at}
	for name, test := range map[string]struct {
		held    uint64
		events  []overseer.Event
		version uint64
		// confirmed is the age that the configuration has 10 ms later, 0 if it is not fresh.
		confirmed time.Duration
	}{
		"older one in the copy": {7, []overseer.Event{older}, 7, 10 * ms},
		"same one in the copy": {7, []overseer.Event{
			overseer.ConfigReceived{Table: table(7, after), RequestedAt: at},
		}, 7, 10 * ms},
		"older one before the restore": {7, []overseer.Event{
			overseer.ConfigReceived{Table: table(6, before), RequestedAt: at},
		}, 7, second + 10*ms},
		"newer one": {7, []overseer.Event{
			older, overseer.ConfigReceived{Table: table(8, written), RequestedAt: at},
		}, 8, 10 * ms},
		"lost one at another entry": {6, []overseer.Event{older, heard(before, 7, at)}, 6, 0},
		"and confirmed by the copy": {6, []overseer.Event{
			older, heard(before, 7, at), overseer.ConfigConfirmed{RequestedAt: at},
		}, 6, 0},
		"and confirmed by one without it": {6, []overseer.Event{older, heard(before, 7, at), heard(after, 6, at)}, 6, 0},
		"and written again": {6, []overseer.Event{
			older, heard(before, 7, at), overseer.ConfigReceived{Table: table(7, written), RequestedAt: at},
		}, 7, 10 * ms},
		"lost one that was heard of before": {6, []overseer.Event{heard(before, 7, second), older}, 6, 0},
		"newer one that is on its way":      {6, []overseer.Event{older, heard(after, 7, at)}, 6, 10 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := apply(readAt(before, test.held, nil), test.events...)
			now := at + 10*ms
			if got, _ := s.Table(); got.Version() != test.version {
				t.Errorf("version %d in force", got.Version())
			}
			if s.IsFresh(now) != (test.confirmed > 0) || test.confirmed > 0 && s.Age(now) != test.confirmed {
				t.Errorf("fresh %t, confirmed %v ago", s.IsFresh(now), s.Age(now))
			}
		})
	}
}

// TestUnreadVersionThatTheCopyLacks guards against the readable configuration of a restored store that ends the state in which a newer one,
// which may take keys away, could not be read.
func TestUnreadVersionThatTheCopyLacks(t *testing.T) {
	s, _ := apply(readAt(before, 7, nil), overseer.ConfigUnread{Position: position.New(1, 160), RequestedAt: second},
		overseer.ConfigReceived{Table: table(7, after), RequestedAt: 2 * second})
	if !s.IsConfigUnread() {
		t.Error("the copy ended it")
	}
	s, _ = apply(s, overseer.ConfigReceived{Table: table(9, written), RequestedAt: 2 * second})
	if s.IsConfigUnread() {
		t.Error("a newer version did not end it")
	}
}

// TestStartOnARestoredStore guards against an entry that starts on an older copy and takes it for all there is, and against one that waits
// for others where there is nothing to wait for.
func TestStartOnARestoredStore(t *testing.T) {
	start := func(at position.Position, others ...peer.Peer) overseer.State {
		s, _ := apply(overseer.New(peer.Peer{Name: "e1", Start: 1}), overseer.Tick{At: second},
			overseer.ConfigReceived{Table: table(6, at), RequestedAt: second},
			overseer.RunnersListed{Position: at, At: second},
			overseer.PeersListed{Peers: others, Position: at, At: second}, overseer.Tick{At: second + 50*ms})
		return s
	}
	notReady := heard(after, 7, second)
	notReady.Heartbeat.Ready = false
	tick := func(at time.Duration) overseer.Event { return overseer.Tick{At: at} }
	later := overseer.ConfigConfirmed{RequestedAt: 3 * second}
	two := []peer.Peer{other("e2", "z"), other("e3", "z")}
	for name, test := range map[string]struct {
		at     position.Position
		others []peer.Peer
		events []overseer.Event
		want   bool
	}{
		"a store that tells no era":        {position.New(0, 130), two, nil, true},
		"no other entry":                   {after, nil, nil, true},
		"others, none heard":               {after, two, nil, false},
		"a ready one heard":                {after, two, []overseer.Event{heard(after, 6, second)}, true},
		"a ready one with a lost version":  {after, two, []overseer.Event{heard(before, 7, second)}, false},
		"one heard that is not ready":      {after, two, []overseer.Event{notReady}, false},
		"the only one, which is not ready": {after, two[:1], []overseer.Event{notReady}, true},
		"none heard in time":               {after, two, []overseer.Event{tick(2 * second), later, tick(3100 * ms)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := second + 60*ms
			s, _ := apply(start(test.at, test.others...), test.events...)
			if len(test.events) > 1 {
				now = 3200 * ms
			}
			if s.IsFresh(now) != test.want || s.IsReady(now) != test.want {
				t.Errorf("fresh %t, ready %t", s.IsFresh(now), s.IsReady(now))
			}
		})
	}
}

// TestRunnersAfterARestore guards against runners that are used although they left, or not used although they started, as the copy of a
// restored store says so; against knowledge that outlives what is written again; and against knowledge that is older than the copy.
func TestRunnersAfterARestore(t *testing.T) {
	in := func(id string, state runner.State, start int64) runner.Runner {
		return runner.New(id, "pool", "a:1", runner.InState(state), runner.StartedAt(start))
	}
	ready, leaving := in("one", runner.StateReady, 5), in("one", runner.StateLeaving, 5)
	listed := func(at time.Duration, list ...runner.Runner) overseer.Event {
		return overseer.RunnersListed{Runners: list, Position: after, At: at}
	}
	changed := func(p position.Position, at time.Duration, c ...listing.Change[runner.Runner]) overseer.Event {
		return overseer.RunnersChanged{Changes: c, Position: p, At: at}
	}
	put := func(p position.Position, r runner.Runner) listing.Change[runner.Runner] {
		return listing.Change[runner.Runner]{Name: r.ID(), Position: p, Valid: true, Item: r}
	}
	removed := changed(position.New(1, 151), second, listing.Change[runner.Runner]{Name: "one", Position: position.New(1, 151), Removed: true})
	paused := []overseer.Event{overseer.Tick{At: 2 * second}, overseer.Tick{At: 9 * second}, listed(9500*ms, ready)}
	for name, test := range map[string]struct {
		known  []runner.Runner
		events []overseer.Event
		want   string
	}{
		"drains, ready in the copy": {[]runner.Runner{leaving}, []overseer.Event{listed(2*second, ready)}, "leaving"},
		"gone, ready in the copy": {[]runner.Runner{ready}, []overseer.Event{
			removed, listed(2*second, ready),
		}, "leaving"},
		"and written again as ready": {[]runner.Runner{leaving}, []overseer.Event{
			listed(2*second, ready), changed(written, 2*second, put(written, ready)),
		}, "ready"},
		"and written again as draining": {[]runner.Runner{leaving}, []overseer.Event{
			listed(2*second, ready), changed(written, 2*second, put(written, leaving)),
		}, "leaving"},
		"and started anew": {[]runner.Runner{leaving}, []overseer.Event{
			listed(2*second, in("one", runner.StateReady, 9)),
		}, "ready"},
		"and listed once more": {[]runner.Runner{leaving}, []overseer.Event{
			listed(2*second, ready), listed(3*second, ready),
		}, "leaving"},
		"and never written again": {[]runner.Runner{leaving}, []overseer.Event{
			listed(2*second, ready), overseer.Tick{At: 33 * second},
		}, "ready"},
		"started, missing in the copy": {[]runner.Runner{ready}, []overseer.Event{listed(2 * second)}, "ready"},
		"and missing in the next listing": {[]runner.Runner{ready}, []overseer.Event{
			listed(2 * second), listed(3 * second),
		}, "ready"},
		"missing for good": {[]runner.Runner{ready}, []overseer.Event{
			listed(2 * second), overseer.Tick{At: 33 * second},
		}, "none"},
		"started, an earlier start there": {[]runner.Runner{ready}, []overseer.Event{
			listed(2*second, in("one", runner.StateLeaving, 3)),
		}, "ready"},
		"drains, and two restores in a row": {[]runner.Runner{leaving}, []overseer.Event{
			listed(2*second, ready), overseer.RunnersListed{Runners: []runner.Runner{ready}, Position: position.New(3, 120), At: 3 * second},
		}, "leaving"},
		"a listing of before that came late": {[]runner.Runner{leaving}, []overseer.Event{
			listed(2*second, ready), overseer.RunnersListed{Position: before, At: 3 * second},
		}, "leaving"},
		"drained, known from before a pause": {[]runner.Runner{leaving}, paused, "ready"},
		"drained, no word of the store for long": {[]runner.Runner{leaving}, []overseer.Event{
			overseer.StoreUnreachable{At: 2 * second}, listed(18*second, ready),
		}, "ready"},
	} {
		t.Run(name, func(t *testing.T) {
			s := readAt(before, 7, nil, test.known...)
			for _, e := range test.events {
				s, _ = overseer.Step(s, e)
			}
			got := "none"
			if r, found := s.Runners().Runner("one"); found {
				got = map[bool]string{true: "ready", false: "leaving"}[r.IsReady()]
			}
			if got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
		})
	}
}

// TestDrainsAfterARestore guards against a data centre that gets requests although operators drain it, as a restored store has lost that,
// and against one that stays closed, or open, for good as nothing was written again.
func TestDrainsAfterARestore(t *testing.T) {
	listed := func(centres ...string) overseer.Event {
		e := overseer.EvacuationsListed{Position: after, RequestedAt: 2 * second, At: 2 * second}
		for _, c := range centres {
			e.Evacuations = append(e.Evacuations, evacuation.Evacuation{Centre: c, Position: position.New(2, 100)})
		}
		return e
	}
	changed := func(p position.Position, removed bool) overseer.Event {
		return overseer.EvacuationsChanged{Position: p, RequestedAt: second, At: second, Changes: []listing.Change[evacuation.Evacuation]{
			{Name: "a", Position: p, Removed: removed, Valid: true},
		}}
	}
	reported := func(p position.Position, ended bool) overseer.Event {
		e := heard(p, 7, 2*second)
		e.Heartbeat.Evacuations = []evacuation.Evacuation{{Centre: "a", Position: p, Ended: ended}}
		return e
	}
	tick := overseer.Tick{At: 33 * second}
	a := []string{"a"}
	for name, test := range map[string]struct {
		known  []string
		events []overseer.Event
		want   bool
	}{
		"drained, lost":                {a, []overseer.Event{listed()}, true},
		"drained, lost, listed twice":  {a, []overseer.Event{listed(), listed()}, true},
		"drained, lost, written again": {a, []overseer.Event{listed(), changed(written, false), tick}, true},
		"and ended after that": {a, []overseer.Event{
			listed(), changed(written, false), changed(position.New(2, 160), true),
		}, false},
		"drained, lost for good": {a, []overseer.Event{listed(), tick}, false},
		"ended, the end lost":    {a, []overseer.Event{changed(position.New(1, 160), true), listed("a")}, false},
		"and ended again": {a, []overseer.Event{
			changed(position.New(1, 160), true), listed("a"), changed(written, true), tick,
		}, false},
		"ended, the end lost for good":      {a, []overseer.Event{changed(position.New(1, 160), true), listed("a"), tick}, true},
		"told by one that knew of it":       {nil, []overseer.Event{listed(), reported(before, false)}, true},
		"told by one that missed its end":   {nil, []overseer.Event{listed(), reported(position.New(2, 100), false)}, false},
		"told of the end by one that knows": {a, []overseer.Event{listed(), reported(written, true)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := apply(readAt(before, 7, test.known), test.events...)
			if got := s.IsEvacuated("a"); got != test.want {
				t.Errorf("drained %t", got)
			}
		})
	}
}

// TestHeartbeatOfAnEarlierRelease guards against a process of an earlier release, which tells no eras, and whose news are taken for those
// of an earlier history: its newer version would have keys refused, and its drains would be passed over.
func TestHeartbeatOfAnEarlierRelease(t *testing.T) {
	s, _ := apply(readAt(before, 7, nil), overseer.ConfigReceived{Table: table(7, after), RequestedAt: 2 * second},
		overseer.EvacuationsListed{Position: after, RequestedAt: 2 * second, At: 2 * second})
	e := heard(position.New(0, 140), 8, 2*second)
	drains := []evacuation.Evacuation{{Centre: "a", Position: position.New(0, 140)}}
	e.Heartbeat.HasEra, e.Heartbeat.ConfigEra, e.Heartbeat.Evacuations = false, 0, drains
	s, _ = apply(s, e)
	if !s.IsFresh(2*second) || !s.IsEvacuated("a") {
		t.Errorf("fresh %t, drained %t", s.IsFresh(2*second), s.IsEvacuated("a"))
	}
	if drains[0].Position != position.New(0, 140) {
		t.Errorf("the heartbeat was changed: %v", drains)
	}
}

// TestNewEraIsReadEverywhere guards against kinds of objects that go on to be read in an earlier era, as their watches wait, after one
// watch, or another entry, has told of a new one.
func TestNewEraIsReadEverywhere(t *testing.T) {
	all := overseer.Refresh{Config: true, Runners: true, Entries: true, Evacuations: true}
	rest := all
	rest.Runners = false
	for name, test := range map[string]struct {
		event overseer.Event
		want  overseer.Refresh
	}{
		"own listing":   {overseer.RunnersListed{Position: after, At: 1100 * ms}, rest},
		"another entry": {heard(after, 7, 1100*ms), all},
	} {
		t.Run(name, func(t *testing.T) {
			s, effects := apply(readAt(before, 7, nil), test.event)
			if !slices.Contains(effects, overseer.Effect(overseer.Restored{Era: 2})) || s.Era() != 2 {
				t.Errorf("era %d, effects %v", s.Era(), effects)
			}
			s, effects = overseer.Step(s, overseer.Tick{At: 1400 * ms})
			if !slices.ContainsFunc(effects, func(e overseer.Effect) bool { return fmt.Sprint(e) == fmt.Sprint(test.want) }) {
				t.Errorf("effects %v, want %+v", effects, test.want)
			}
			s, _ = apply(s, overseer.RunnersListed{Position: after, At: 1500 * ms}, overseer.PeersListed{Position: after, At: 1500 * ms},
				overseer.EvacuationsListed{Position: after, RequestedAt: 1500 * ms, At: 1500 * ms},
				overseer.ConfigReceived{Table: table(6, after), RequestedAt: 1500 * ms})
			_, effects = overseer.Step(s, overseer.Tick{At: 1900 * ms})
			if slices.ContainsFunc(effects, func(e overseer.Effect) bool { _, is := e.(overseer.Refresh); return is }) {
				t.Errorf("effects %v after all was read", effects)
			}
		})
	}
}
