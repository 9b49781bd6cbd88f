package overseer_test

import (
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

func isReady(s overseer.State, id string) bool {
	r, found := s.Runners().Runner(id)
	return found && r.IsReady()
}

func runnerChanged(r runner.Runner, at time.Duration) overseer.Event {
	changes := []listing.Change[runner.Runner]{{Name: r.ID(), Position: position.New(0, 6), Valid: true, Item: r}}
	return overseer.RunnersChanged{Changes: changes, Position: position.New(0, 6), At: at}
}

// TestLeaverStaysOut has a runner say that it leaves: neither listings nor changes that call it ready bring it back, but a
// later start under the same identifier does, and so does its staying for long.
func TestLeaverStaysOut(t *testing.T) {
	r, later := runner.New("r1", "pool", "h:1", runner.StartedAt(5)), runner.New("r1", "pool", "h:1", runner.StartedAt(6))
	start, _ := apply(overseer.New(self), overseer.RunnersListed{Runners: []runner.Runner{r}, At: second},
		overseer.RunnerLeaves{Runner: "r1", At: 2 * second})
	for name, test := range map[string]struct {
		event overseer.Event
		want  bool
	}{
		"told again":          {overseer.RunnerLeaves{Runner: "r1", At: 3 * second}, false},
		"listed as ready":     {overseer.RunnersListed{Runners: []runner.Runner{r}, At: 3 * second}, false},
		"changed, but ready":  {runnerChanged(r, 3*second), false},
		"a minute later":      {overseer.Tick{At: 62 * second}, false},
		"ten minutes later":   {overseer.Tick{At: 10*time.Minute + 3*second}, true},
		"a later start":       {runnerChanged(later, 3*second), true},
		"a later start, list": {overseer.RunnersListed{Runners: []runner.Runner{later}, At: 3 * second}, true},
	} {
		t.Run(name, func(t *testing.T) {
			if s, _ := apply(start, test.event); isReady(s, "r1") != test.want {
				t.Errorf("ready %t", !test.want)
			}
		})
	}
}

// TestRumourOfALeaverIsBounded has another entry report that a runner leaves: it gets no requests while that is reported. The
// report is passed on as old as it is, so that one that is wrong ends.
func TestRumourOfALeaverIsBounded(t *testing.T) {
	a := other("a", "x")
	r := runner.New("r1", "pool", "h:1")
	here, _ := apply(overseer.New(a), overseer.PeersListed{Peers: []peer.Peer{self}},
		overseer.RunnersListed{Runners: []runner.Runner{r}, At: second}, overseer.RunnerLeaves{Runner: "r1", At: second})
	there, _ := apply(overseer.New(self), overseer.PeersListed{Peers: []peer.Peer{a}},
		overseer.RunnersListed{Runners: []runner.Runner{r}, At: second},
		overseer.HeartbeatReceived{Heartbeat: here.Heartbeat(self, nil, 2*second), At: 2 * second})
	if isReady(there, "r1") {
		t.Error("ready although another entry reports that it leaves")
	}
	if got := there.Heartbeat(a, nil, 4*second).Leavers; len(got) != 1 || got[0].Age != 2*second {
		t.Errorf("passed on: %v", got)
	}
	if got := there.Heartbeat(a, nil, 6*second).Leavers; len(got) != 0 {
		t.Errorf("passed on for ever: %v", got)
	}
	if s, _ := apply(there, overseer.Tick{At: 6 * second}); isReady(s, "r1") {
		t.Error("ready 4 s after the report")
	}
	if s, _ := apply(there, overseer.Tick{At: 8 * second}); !isReady(s, "r1") {
		t.Error("not ready although nobody reports it any longer")
	}
}

// TestLeaverIsForgottenOnceTheStoreKnows ends what is remembered when the store says that the runner drains, or lists it no
// longer.
func TestLeaverIsForgottenOnceTheStoreKnows(t *testing.T) {
	r := runner.New("r1", "pool", "h:1")
	s, _ := apply(overseer.New(self), overseer.RunnersListed{Runners: []runner.Runner{r}, At: second},
		overseer.RunnerLeaves{Runner: "r1", At: second})
	draining, _ := apply(s, runnerChanged(r.WithState(runner.StateLeaving), 2*second),
		overseer.Tick{At: time.Hour})
	if isReady(draining, "r1") || len(draining.Heartbeat(other("a", "x"), nil, second).Leavers) != 0 {
		t.Error("a draining runner is ready, or still told of")
	}
	gone, _ := apply(s, overseer.RunnersListed{At: 2 * second}, overseer.Tick{At: 3 * second},
		overseer.RunnersListed{Runners: []runner.Runner{r}, At: 4 * second})
	if !isReady(gone, "r1") {
		t.Error("a runner that came back is not ready")
	}
}
