package overseer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
)

// TestEntriesAfterARestore guards against entries that are left out as a restored store lacks them, although they are heard from, and
// against ones that were removed and are named again as its copy holds them.
func TestEntriesAfterARestore(t *testing.T) {
	listed := func(at time.Duration, list ...peer.Peer) overseer.Event {
		return overseer.PeersListed{Peers: append(list, peer.Peer{Name: "e1", Start: 1}), Position: after, At: at}
	}
	started := other("e2", "z")
	started.Start--
	for name, test := range map[string]struct {
		events []overseer.Event
		now    time.Duration
		want   []string
	}{
		"lost":                   {[]overseer.Event{listed(1500 * ms)}, 1600 * ms, []string{"c1", "e2:1"}},
		"lost, listed twice":     {[]overseer.Event{listed(1500 * ms), listed(1550 * ms)}, 1600 * ms, []string{"c1", "e2:1"}},
		"an earlier start in it": {[]overseer.Event{listed(1500*ms, started)}, 1600 * ms, []string{"c1", "e2:1"}},
		"lost before it was heard from": {[]overseer.Event{
			overseer.PeersChanged{
				Changes:  []listing.Change[peer.Peer]{{Name: "e3", Valid: true, Item: other("e3", "z")}},
				Position: position.New(1, 160), At: 1400 * ms,
			}, listed(1500 * ms),
		}, 1600 * ms, []string{"e2:1", "e3:1"}},
		"lost, and silent":           {[]overseer.Event{listed(1500 * ms)}, 3 * second, []string{"c1"}},
		"removed, back in the copy":  {[]overseer.Event{listed(1500*ms, other("e2", "z"), other("e3", "z"))}, 1600 * ms, []string{"c1", "e2:1"}},
		"lost, and removed for good": {[]overseer.Event{listed(1500 * ms), listed(40 * second)}, 40 * second, []string{"c1"}},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := apply(readAt(before, 7, nil), test.events...)
			s, _ = apply(s, overseer.ConfigReceived{Table: table(7, written), RequestedAt: test.now})
			got := s.Addresses("z", "r", test.now)
			if len(test.want) > 1 && !slices.Equal(got, test.want) || len(got) != len(test.want) {
				t.Errorf("lookups name %v, want %v", got, test.want)
			}
		})
	}
}

// TestMissingRegistrationIsWrittenAgain guards against an entry that others do not know for good, and against all entries that write at
// once, or write again and again what is on its way.
func TestMissingRegistrationIsWrittenAgain(t *testing.T) {
	own := peer.Peer{Name: "e1", Start: 1}
	listed := func(p position.Position, list ...peer.Peer) overseer.Event {
		return overseer.PeersListed{Peers: list, Position: p, At: 2 * second}
	}
	changed := func(c listing.Change[peer.Peer]) overseer.Event {
		return overseer.PeersChanged{Changes: []listing.Change[peer.Peer]{c}, Position: position.New(1, 160), At: 2 * second}
	}
	removed := listing.Change[peer.Peer]{Name: "e1", Removed: true}
	earlier, later := own, own
	earlier.Start, later.Start = 0, 2
	for name, test := range map[string]struct {
		events []overseer.Event
		// from and until bound when it is written again for the first time, 0 for never.
		from, until time.Duration
	}{
		"there":               {[]overseer.Event{listed(after, own)}, 0, 0},
		"lost in a restore":   {[]overseer.Event{listed(after)}, 2 * second, 2200 * ms},
		"of an earlier start": {[]overseer.Event{listed(after, earlier)}, 2 * second, 2200 * ms},
		"of a later process":  {[]overseer.Event{listed(after, later)}, 0, 0},
		"removed by others":   {[]overseer.Event{changed(removed)}, 3 * second, 3200 * ms},
		"removed, and back": {[]overseer.Event{
			changed(removed), changed(listing.Change[peer.Peer]{Name: "e1", Valid: true, Item: own}),
		}, 0, 0},
		"missing after changes were lost": {[]overseer.Event{listed(position.New(1, 170))}, 3 * second, 3200 * ms},
		"lost, and about to stop":         {[]overseer.Event{listed(after), overseer.Leave{}}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := apply(readAt(before, 7, nil), test.events...)
			var at []time.Duration
			for now := 2 * second; now < 5*second; now += 100 * ms {
				var effects []overseer.Effect
				s, effects = overseer.Step(s, overseer.Tick{At: now})
				if slices.Contains(effects, overseer.Effect(overseer.Register{})) {
					at = append(at, now)
				}
			}
			if len(at) > 2 || (len(at) == 0) != (test.until == 0) || len(at) > 0 && (at[0] < test.from || at[0] > test.until) {
				t.Errorf("registered at %v, want from %v to %v", at, test.from, test.until)
			}
		})
	}
}
