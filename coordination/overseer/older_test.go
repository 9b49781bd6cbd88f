package overseer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// TestOlderDataChangesNothing guards against an old listing that takes the place of what is known, so that a runner which drains
// gets requests again and one that is gone is back. A store that has lost its past is believed.
func TestOlderDataChangesNothing(t *testing.T) {
	const at = 10 * time.Second
	inState := func(id string, s runner.State) runner.Runner { return runner.New(id, "pool", "a:1", runner.InState(s)) }
	listed := func(revision uint64, unconfirmed bool, list ...runner.Runner) overseer.Event {
		return overseer.RunnersListed{Runners: list, Position: position.New(0, revision), Unconfirmed: unconfirmed, At: at}
	}
	changed := func(revision uint64, changes ...listing.Change[runner.Runner]) overseer.Event {
		return overseer.RunnersChanged{Changes: changes, Position: position.New(0, revision), At: at}
	}
	put := func(revision uint64, r runner.Runner) listing.Change[runner.Runner] {
		return listing.Change[runner.Runner]{Name: r.ID(), Position: position.New(0, revision), Valid: true, Item: r}
	}
	removed := func(revision uint64, id string) listing.Change[runner.Runner] {
		return listing.Change[runner.Runner]{Name: id, Position: position.New(0, revision), Removed: true}
	}
	one, two := inState("one", runner.StateReady), inState("two", runner.StateReady)
	draining := inState("one", runner.StateLeaving)
	old := listed(90, true, one, two)
	for name, test := range map[string]struct {
		events []overseer.Event
		// ready and leaving are the runners that are known afterwards.
		ready, leaving []string
	}{
		"as known":                   {nil, nil, []string{"one"}},
		"an old listing":             {[]overseer.Event{old}, nil, []string{"one"}},
		"and changes that are known": {[]overseer.Event{old, changed(95, put(92, two))}, nil, []string{"one"}},
		"and all changes since": {[]overseer.Event{
			old, changed(112, put(101, draining), removed(102, "two"), put(111, two)),
		}, []string{"two"}, []string{"one"}},
		"and changes in two parts": {[]overseer.Event{
			old, changed(101, put(101, draining)), changed(111, removed(102, "two"), put(111, two)),
		}, []string{"two"}, []string{"one"}},
		"a newer listing of the same kind":  {[]overseer.Event{old, listed(120, true, one)}, []string{"one"}, nil},
		"the same revision":                 {[]overseer.Event{listed(110, true, draining)}, nil, []string{"one"}},
		"a store that lost its past":        {[]overseer.Event{listed(20, false, two)}, []string{"two"}, nil},
		"and its changes":                   {[]overseer.Event{listed(20, false, two), changed(21, put(21, one))}, []string{"one", "two"}, nil},
		"and an old listing of its new one": {[]overseer.Event{listed(20, false, two), listed(15, true, one)}, []string{"two"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := overseer.New(peer.Peer{Name: "e1", Start: 1})
			known := []overseer.Event{listed(100, true, one, two), changed(110, put(101, draining), removed(102, "two"))}
			for _, e := range slices.Concat(known, test.events) {
				s, _ = overseer.Step(s, e)
			}
			if n := s.Runners().Len(); n != len(test.ready)+len(test.leaving) {
				t.Errorf("%d runners", n)
			}
			for isReady, ids := range map[bool][]string{true: test.ready, false: test.leaving} {
				for _, id := range ids {
					if r, found := s.Runners().Runner(id); !found || r.IsReady() != isReady {
						t.Errorf("%s: found %t, ready %t", id, found, r.IsReady())
					}
				}
			}
		})
	}
}

// TestOlderListOfEntriesChangesNothing does the same with the entries.
func TestOlderListOfEntriesChangesNothing(t *testing.T) {
	s := overseer.New(peer.Peer{Name: "e1", Start: 1})
	for _, e := range []overseer.Event{
		overseer.PeersListed{Peers: []peer.Peer{{Name: "e2", Start: 2}}, Position: position.New(0, 100)},
		overseer.PeersListed{
			Peers: []peer.Peer{{Name: "e2", Start: 1}, {Name: "e3", Start: 1}}, Position: position.New(0, 90), Unconfirmed: true,
		},
		overseer.PeersChanged{Changes: []listing.Change[peer.Peer]{{Name: "e2", Removed: true}}, Position: position.New(0, 95)},
	} {
		s, _ = overseer.Step(s, e)
	}
	if got := s.Peers(); len(got) != 1 || got[0].Name != "e2" || got[0].Start != 2 {
		t.Errorf("got %+v", got)
	}
}
