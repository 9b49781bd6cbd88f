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

// evacuateWithin is the time in which entries must have stopped sending to a drained data centre.
const evacuateWithin = 5 * time.Second

// drainable are runners of a service in the data centres x and y.
var drainable = overseer.RunnersListed{Runners: []runner.Runner{
	runner.New("x-1", "pool", "x:1", runner.Centre("x")), runner.New("x-2", "pool", "x:2", runner.Centre("x")),
	runner.New("y-1", "pool", "y:1", runner.Centre("y")),
}, Position: position.New(0, 3), At: second}

// usable returns the identifiers of the runners that may receive requests.
func usable(s overseer.State) []string {
	list := s.Usable("pool")
	ids := make([]string, 0, len(list))
	for _, r := range list {
		ids = append(ids, r.ID())
	}
	return ids
}

func drain(centre string, revision uint64) evacuation.Evacuation {
	return evacuation.Evacuation{Centre: centre, Position: position.New(0, revision)}
}

func end(centre string, revision uint64) evacuation.Evacuation {
	return evacuation.Evacuation{Centre: centre, Position: position.New(0, revision), Ended: true}
}

// listed and copied return the event of a listing by the store, and by a copy that may be old.
func listed(revision uint64, list ...evacuation.Evacuation) overseer.Event {
	return overseer.EvacuationsListed{Evacuations: list, Position: position.New(0, revision), RequestedAt: 2 * second, At: 2 * second}
}

func copied(revision uint64, list ...evacuation.Evacuation) overseer.Event {
	return overseer.EvacuationsListed{Evacuations: list, Position: position.New(0, revision), Unconfirmed: true, At: 2 * second}
}

// changed returns the event of changes up to a revision.
func changed(revision uint64, changes ...evacuation.Evacuation) overseer.Event {
	e := overseer.EvacuationsChanged{Position: position.New(0, revision), RequestedAt: 2 * second, At: 2 * second}
	for _, c := range changes {
		e.Changes = append(e.Changes, listing.Change[evacuation.Evacuation]{
			Name: c.Centre, Position: c.Position, Removed: c.Ended, Valid: true, Item: c,
		})
	}
	return e
}

// reported returns the event of another entry's heartbeat.
func reported(list ...evacuation.Evacuation) overseer.Event {
	return overseer.HeartbeatReceived{Heartbeat: peer.Heartbeat{Name: "a", Start: 7, Evacuations: list}, At: 2 * second}
}

// TestRunnersOfDrainedCentresAreNotUsed guards against requests to a data centre that operators drain, and against one that stays closed
// although they returned it to service, whatever the order in which store, copies and other entries report it.
func TestRunnersOfDrainedCentresAreNotUsed(t *testing.T) {
	all, onlyX, onlyY := []string{"x-1", "x-2", "y-1"}, []string{"x-1", "x-2"}, []string{"y-1"}
	open, closed := listed(10), listed(10, drain("x", 8))
	inCentre := func(id, centre string) overseer.Event {
		return runnerChanged(runner.New(id, "pool", id+":1", runner.Centre(centre)), second)
	}
	unreachable, endedAt11 := overseer.StoreUnreachable{At: 2 * second}, changed(12, end("x", 11))
	undecoded := overseer.EvacuationsChanged{Position: position.New(0, 12), Changes: []listing.Change[evacuation.Evacuation]{{Name: "x"}}}
	for name, test := range map[string]struct {
		events []overseer.Event
		want   []string
	}{
		"none drained":                           {[]overseer.Event{open}, all},
		"listed":                                 {[]overseer.Event{closed}, onlyY},
		"all":                                    {[]overseer.Event{listed(10, drain("x", 8), drain("y", 9))}, nil},
		"begun":                                  {[]overseer.Event{open, changed(12, drain("x", 11))}, onlyY},
		"ended":                                  {[]overseer.Event{closed, endedAt11}, all},
		"ended, with the revision of the object": {[]overseer.Event{closed, changed(12, end("x", 8))}, all},
		"ended and begun again":                  {[]overseer.Event{closed, changed(14, end("x", 11), drain("x", 13))}, onlyY},
		"an object that cannot be read":          {[]overseer.Event{open, undecoded}, onlyY},
		"a listing without it":                   {[]overseer.Event{closed, listed(20)}, all},
		"an old copy without it":                 {[]overseer.Event{closed, copied(7)}, onlyY},
		"an old copy with it":                    {[]overseer.Event{closed, endedAt11, copied(9, drain("x", 8))}, all},
		"a new copy without it":                  {[]overseer.Event{closed, copied(14)}, all},
		"changes read once more": {[]overseer.Event{
			open, changed(14, drain("x", 11), end("x", 12)), copied(10), changed(11, drain("x", 11)),
		}, all},
		"reported":                                 {[]overseer.Event{open, reported(drain("x", 12))}, onlyY},
		"reported, then a listing from before":     {[]overseer.Event{open, reported(drain("x", 12)), listed(11)}, onlyY},
		"reported, then a listing from after":      {[]overseer.Event{open, reported(drain("x", 12)), listed(13)}, all},
		"reported, then a copy from before":        {[]overseer.Event{open, reported(drain("x", 12)), copied(11)}, onlyY},
		"reported end":                             {[]overseer.Event{closed, reported(end("x", 12))}, all},
		"reported end of an earlier drain":         {[]overseer.Event{listed(15, drain("x", 14)), reported(end("x", 12))}, onlyY},
		"old report after the end":                 {[]overseer.Event{closed, endedAt11, reported(drain("x", 8))}, all},
		"old report of what the listing lacks":     {[]overseer.Event{open, reported(drain("x", 8))}, all},
		"malformed report":                         {[]overseer.Event{open, reported(drain("", 12), drain("x", 0))}, all},
		"store unreachable":                        {[]overseer.Event{closed, unreachable, overseer.Tick{At: 3 * second}}, onlyY},
		"a store that lost its past":               {[]overseer.Event{closed, listed(4, drain("y", 3))}, onlyX},
		"and is drained again":                     {[]overseer.Event{closed, endedAt11, listed(4), changed(6, drain("x", 5))}, onlyY},
		"a runner that registers":                  {[]overseer.Event{closed, inCentre("y-2", "y")}, []string{"y-1", "y-2"}},
		"a runner that registers in a drained one": {[]overseer.Event{closed, inCentre("x-3", "x")}, onlyY},
		"runners listed anew":                      {[]overseer.Event{closed, drainable}, onlyY},
		"a runner that leaves":                     {[]overseer.Event{closed, overseer.RunnerLeaves{Runner: "x-1", At: second}}, onlyY},
		"drained before any runner was registered": {[]overseer.Event{
			overseer.RunnersListed{Position: position.New(0, 4), At: second}, closed,
			overseer.RunnersListed{Runners: drainable.Runners, Position: position.New(0, 6), At: second},
		}, onlyY},
		"drained twice, by one object and a report": {[]overseer.Event{closed, reported(drain("x", 8)), endedAt11}, all},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := apply(overseer.New(self, overseer.Evacuations(evacuateWithin, second)),
				overseer.PeersListed{Peers: []peer.Peer{other("a", "x")}}, drainable)
			s, _ = apply(s, test.events...)
			if got := usable(s); !slices.Equal(got, test.want) {
				t.Errorf("usable: %v, want %v", got, test.want)
			}
			hasX, maySend, isClosed := slices.Contains(test.want, "x-1"), s.MaySend(drainable.Runners[0], 2*second), s.IsClosed("pool", 2*second)
			if s.IsEvacuated("x") == hasX || maySend != hasX || isClosed != (test.want == nil) {
				t.Errorf("drained %t, may send %t, closed %t", s.IsEvacuated("x"), maySend, isClosed)
			}
		})
	}
}

// TestDrainedCentreStaysRegistered guards against runners that are taken for leaving, here or by others, as their data centre is drained:
// they must be back at once when that ends.
func TestDrainedCentreStaysRegistered(t *testing.T) {
	a := other("a", "x")
	start, _ := apply(overseer.New(self, overseer.Evacuations(evacuateWithin, second)), overseer.PeersListed{Peers: []peer.Peer{a}}, drainable)
	s, effects := apply(start, listed(10, drain("x", 8)))
	if s.Runners().Len() != 3 || !isReady(s, "x-1") || len(s.Heartbeat(a, nil, 2*second).Leavers) != 0 {
		t.Errorf("%d registered, leavers %v", s.Runners().Len(), s.Heartbeat(a, nil, 2*second).Leavers)
	}
	if !slices.Contains(effects, overseer.Effect(overseer.Evacuated{Centre: "x"})) {
		t.Errorf("not told: %v", effects)
	}
	s, effects = apply(s, changed(12, end("x", 11)))
	if !slices.Contains(effects, overseer.Effect(overseer.Evacuated{Centre: "x", Ended: true})) {
		t.Errorf("not told of the end: %v", effects)
	}
	for at, want := range map[time.Duration]int{3 * second: 1, 61 * second: 1, 63 * second: 0} {
		if got := s.Heartbeat(a, nil, at).Evacuations; len(got) != want {
			t.Errorf("%v after the start it reports %v", at, got)
		}
	}
}

// TestStaleReportIsAnswered has an entry that was cut off for hours report a drain that has ended: it learns of the end, from an entry that
// saw it and from one that has started since, and brings nothing back.
func TestStaleReportIsAnswered(t *testing.T) {
	a := other("a", "x")
	start, _ := apply(overseer.New(self, overseer.Evacuations(evacuateWithin, second)), overseer.PeersListed{Peers: []peer.Peer{a}}, drainable)
	for name, events := range map[string][]overseer.Event{
		"saw the end": {listed(10, drain("x", 8)), changed(12, end("x", 11))}, "started since": {listed(20)},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := apply(start, events...)
			late := 3 * time.Hour
			s, _ = apply(s, overseer.HeartbeatReceived{
				Heartbeat: peer.Heartbeat{Name: "a", Start: 7, Evacuations: []evacuation.Evacuation{drain("x", 8)}}, At: late,
			})
			answer := s.Heartbeat(a, nil, late+second)
			if len(usable(s)) != 3 || len(answer.Evacuations) != 1 || !answer.Evacuations[0].Ended {
				t.Fatalf("usable %v, answer %v", usable(s), answer.Evacuations)
			}
			cut, _ := apply(overseer.New(a, overseer.Evacuations(evacuateWithin, second)), overseer.PeersListed{Peers: []peer.Peer{self}},
				drainable, listed(10, drain("x", 8)), overseer.HeartbeatReceived{Heartbeat: answer, At: late + second})
			if len(usable(cut)) != 3 {
				t.Errorf("the entry that was cut off uses %v", usable(cut))
			}
		})
	}
}

// TestEntryWithoutTheSettingIgnoresDrains guards against a change for deployments that did not ask for it.
func TestEntryWithoutTheSettingIgnoresDrains(t *testing.T) {
	a := other("a", "x")
	s, _ := apply(overseer.New(self), overseer.PeersListed{Peers: []peer.Peer{a}}, drainable,
		overseer.ConfigReceived{Table: routing.NewTable(1), RequestedAt: second}, reported(drain("x", 12)))
	told := s.Heartbeat(a, nil, 2*second).Evacuations
	if len(usable(s)) != 3 || !s.IsReady(2*second) || len(told) != 0 || !s.MaySend(drainable.Runners[0], time.Hour) {
		t.Errorf("usable %v, ready %t", usable(s), s.IsReady(2*second))
	}
}

// TestStartWaitsForDrains guards against an entry that restarts while a data centre is drained and sends requests to it before it knows.
func TestStartWaitsForDrains(t *testing.T) {
	start, _ := apply(overseer.New(self, overseer.Evacuations(evacuateWithin, second)), drainable,
		overseer.PeersListed{Peers: []peer.Peer{other("a", "x")}}, overseer.ConfigReceived{Table: routing.NewTable(1), RequestedAt: 2 * second})
	for name, test := range map[string]struct {
		events []overseer.Event
		want   []string
	}{
		"nothing":                  {nil, nil},
		"a heartbeat":              {[]overseer.Event{reported(drain("x", 12))}, nil},
		"almost two seconds":       {[]overseer.Event{overseer.Tick{At: 2900 * time.Millisecond}}, nil},
		"two seconds":              {[]overseer.Event{overseer.Tick{At: 3 * second}}, []string{"x-1", "x-2", "y-1"}},
		"a heartbeat, two seconds": {[]overseer.Event{reported(drain("x", 12)), overseer.Tick{At: 3 * second}}, []string{"y-1"}},
		"a listing":                {[]overseer.Event{listed(10, drain("x", 8))}, []string{"y-1"}},
		"a listing of a copy":      {[]overseer.Event{copied(10, drain("x", 8))}, []string{"y-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := apply(start, test.events...)
			got, isReady, isClosed := usable(s), s.IsReady(3*second), s.IsClosed("pool", 3*second)
			if !slices.Equal(got, test.want) || isReady != (test.want != nil) || isClosed != (test.want == nil) {
				t.Errorf("usable %v, ready %t, closed %t", got, isReady, isClosed)
			}
		})
	}
}

// TestPausedEntryAsksAgain guards against an entry that was stopped for seconds, goes on and sends requests by what it knew before.
func TestPausedEntryAsksAgain(t *testing.T) {
	start, _ := apply(overseer.New(self, overseer.Evacuations(evacuateWithin, second), overseer.MaxStaleness(time.Hour)), drainable,
		overseer.PeersListed{Peers: []peer.Peer{other("a", "x")}}, overseer.ConfigReceived{Table: routing.NewTable(1), RequestedAt: 2 * second},
		listed(10), overseer.Tick{At: 10 * second})
	const resumed = 13 * second
	if s, _ := apply(start, overseer.Tick{At: 12 * second}); len(usable(s)) != 3 || !s.IsReady(12*second) {
		t.Error("waits after a short pause")
	}
	if start.MaySend(drainable.Runners[0], resumed) || start.IsReady(resumed) || !start.IsClosed("pool", resumed) {
		t.Error("sends before it knows that it was paused")
	}
	paused, effects := apply(start, overseer.Tick{At: resumed})
	if len(usable(paused)) != 0 || paused.IsReady(resumed) || !slices.Contains(effects, overseer.Effect(overseer.Refresh{Evacuations: true})) {
		t.Errorf("uses %v after a pause, effects %v", usable(paused), effects)
	}
	answer := func(askedAt time.Duration) overseer.Event {
		return overseer.EvacuationsChanged{Position: position.New(0, 12), RequestedAt: askedAt, At: resumed}
	}
	beat := func(echo time.Duration, start int64, isReady bool) overseer.Event {
		b := peer.Heartbeat{Name: "a", Start: 7, Echo: echo, EchoStart: start, Ready: isReady}
		return overseer.HeartbeatReceived{At: resumed, Heartbeat: b}
	}
	for name, test := range map[string]struct {
		event overseer.Event
		want  int
	}{
		"an answer asked for before":    {answer(12 * second), 0},
		"an answer asked for since":     {answer(resumed), 3},
		"an answer of a copy":           {answer(0), 0},
		"a heartbeat sent before":       {beat(9*second, self.Start, true), 0},
		"an echo":                       {beat(resumed, self.Start, true), 3},
		"an echo of an earlier start":   {beat(resumed, self.Start-1, true), 0},
		"an echo by one that is paused": {beat(resumed, self.Start, false), 0},
		"two seconds":                   {overseer.Tick{At: resumed + 2*second}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			if s, _ := apply(paused, test.event); len(usable(s)) != test.want {
				t.Errorf("usable %v", usable(s))
			}
		})
	}
}

// TestDrainIsKnownToAllInTime has the store tell one entry only that a data centre is drained, and later that it is back, as the watches of
// all others hang, with a tenth of all datagrams lost.
func TestDrainIsKnownToAllInTime(t *testing.T) {
	for _, n := range []int{3, 9, 34, 148} {
		t.Run(fmt.Sprint(n, " entries"), func(t *testing.T) {
			f := newFleet(t, n)
			f.lossRate = 0.1
			for _, name := range f.names {
				f.states[name], _ = apply(overseer.New(f.peers[name], overseer.Evacuations(evacuateWithin, f.now)),
					overseer.PeersListed{Peers: f.states[name].Peers(), At: f.now},
					overseer.ConfigReceived{Table: routing.NewTable(9), RequestedAt: f.now},
					overseer.RunnersListed{Runners: drainable.Runners, Position: position.New(0, 3), At: f.now},
					overseer.EvacuationsListed{Position: position.New(0, 5), RequestedAt: f.now, At: f.now})
			}
			f.run(2 * time.Second)
			for _, test := range []struct {
				change evacuation.Evacuation
				want   int
			}{{drain("x", 6), 1}, {end("x", 7), 3}} {
				f.deliver(f.names[f.random.IntN(n)], changed(test.change.Position.Revision, test.change))
				f.run(evacuateWithin)
				late := 0
				for _, name := range f.names {
					if len(usable(f.states[name])) != test.want {
						late++
					}
				}
				if late > 0 {
					t.Errorf("%d entries do not know %+v after %v", late, test.change, evacuateWithin)
				}
			}
		})
	}
}
