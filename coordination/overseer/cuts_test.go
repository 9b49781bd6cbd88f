package overseer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// TestLossesUnderAnswersThatHadBegun guards against a count of crashes that leaves out answers that had begun, and against one
// that takes any closed connection for a crash.
func TestLossesUnderAnswersThatHadBegun(t *testing.T) {
	const second = time.Second
	removed := func(id string, at time.Duration) overseer.Event {
		return overseer.RunnersChanged{Changes: []listing.Change[runner.Runner]{{Name: id, Removed: true}}, At: at}
	}
	for name, test := range map[string]struct {
		// after returns the events after the answer of a runner was cut.
		after func(id string, at time.Duration) []overseer.Event
		want  bool
	}{
		"registrations lapse": {func(id string, at time.Duration) []overseer.Event {
			return []overseer.Event{removed(id, at+3*second)}
		}, true},
		"nothing listens": {func(id string, at time.Duration) []overseer.Event {
			return []overseer.Event{overseer.RunnerSeen{Runner: id, SentAt: at + second}}
		}, true},
		"an answer to an earlier request comes late": {func(id string, at time.Duration) []overseer.Event {
			return []overseer.Event{overseer.RunnerSeen{Runner: id, Alive: true, SentAt: at - second}, removed(id, at+3*second)}
		}, true},
		"connections reset": {func(id string, at time.Duration) []overseer.Event {
			return []overseer.Event{overseer.RunnerSeen{Runner: id, Alive: true, SentAt: at + second}, removed(id, at+5*second)}
		}, false},
		"cut by ranks that go on": {func(string, time.Duration) []overseer.Event { return nil }, false},
		"removed much later": {func(id string, at time.Duration) []overseer.Event {
			return []overseer.Event{overseer.Tick{At: at + 8*second}, removed(id, at+9*second)}
		}, false},
		"runners that left": {func(id string, at time.Duration) []overseer.Event {
			leaving := listing.Change[runner.Runner]{
				Name: id, Valid: true, Item: runner.New(id, "pool", "a:1", runner.InState(runner.StateLeaving)),
			}
			return []overseer.Event{overseer.RunnersChanged{Changes: []listing.Change[runner.Runner]{leaving}, At: at}, removed(id, at+3*second)}
		}, false},
		"answered in full in between": {func(id string, at time.Duration) []overseer.Event {
			return []overseer.Event{removed(id, at+second), overseer.RequestAnswered{Fingerprint: "f", At: at + second}}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, other := overseer.New(peer.Peer{Name: "e1", Start: 1}), overseer.New(peer.Peer{Name: "e2", Start: 1})
			s, _ = overseer.Step(s, overseer.PeersListed{Peers: []peer.Peer{{Name: "e2", Start: 1, Beats: "e2"}}})
			other, _ = overseer.Step(other, overseer.PeersListed{Peers: []peer.Peer{{Name: "e1", Start: 1}}})
			at := 10 * second
			for n := range 3 {
				id := fmt.Sprint("r", n)
				at += 10 * second
				s, _ = overseer.Step(s, overseer.RunnersChanged{Changes: []listing.Change[runner.Runner]{
					{Name: id, Valid: true, Item: runner.New(id, "pool", "a:1")},
				}, At: at})
				s, _ = overseer.Step(s, overseer.AnswerCut{Fingerprint: "f", Runner: id, At: at})
				for _, e := range test.after(id, at) {
					s, _ = overseer.Step(s, e)
				}
				other, _ = overseer.Step(other, overseer.HeartbeatReceived{
					Heartbeat: s.Heartbeat(peer.Peer{Name: "e2", Beats: "e2"}, nil, at+4*second), At: at + 4*second,
				})
			}
			if _, got := s.RefusedUntil("f"); got != test.want {
				t.Errorf("refused: %t, want %t", got, test.want)
			}
			if _, got := other.RefusedUntil("f"); got != test.want {
				t.Errorf("refused at another entry: %t, want %t", got, test.want)
			}
		})
	}
}
