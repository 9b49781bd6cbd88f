package director_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/coordination/screener"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

const poolName = "kingcup-pool"

var start = time.Unix(1_800_000_000, 0)

func endpointVM(i int, options ...roster.VMOption) roster.VM {
	options = append([]roster.VMOption{roster.Pool(poolName), roster.PeerAddress(fmt.Sprintf("10.0.%d.%d:7400", i/256, i%256))}, options...)
	return roster.NewVM(name(i), roster.RoleEndpoint, options...)
}

func name(i int) string { return fmt.Sprintf("draft-%d", i) }

func report(i int, at time.Time, options ...roster.ReportOption) director.ReportReceived {
	return director.ReportReceived{Endpoint: name(i), Report: roster.NewReport("first", at, options...)}
}

// reporting returns a state with n listed endpoints whose last report arrived at start.
func reporting(n int) director.State {
	vms := make([]roster.VM, n)
	for i := range vms {
		vms[i] = endpointVM(i)
	}
	s, _ := director.Step(director.New(), director.RosterReceived{Roster: roster.New(1, vms...), At: start})
	for i := range vms {
		s, _ = director.Step(s, report(i, start))
	}
	return s
}

// missedPolls returns one missed poll for each of n endpoints.
func missedPolls(n int) []director.Event {
	events := make([]director.Event, n)
	for i := range events {
		events[i] = director.PollMissed{Endpoint: name(i), At: start}
	}
	return events
}

func apply(s director.State, events ...director.Event) (director.State, []director.Effect) {
	var all []director.Effect
	for _, event := range events {
		next, effects := director.Step(s, event)
		s, all = next, append(all, effects...)
	}
	return s, all
}

func endpointState(t *testing.T, s director.State, i int) roster.State {
	t.Helper()
	e, ok := s.Endpoint(name(i))
	if !ok {
		t.Fatalf("%s is unknown", name(i))
	}
	return e.State()
}

func TestEndpointLeaves(t *testing.T) {
	const n = 4
	otherReports := func(at time.Time) []director.Event {
		events := []director.Event{}
		for i := 1; i < n; i++ {
			events = append(events, report(i, at))
		}
		return append(events, director.Tick{At: at})
	}
	later := start.Add(screener.ReportTimeout + time.Millisecond)
	listed := roster.New(2, endpointVM(0, roster.InStatus(roster.StatusLeaving)), endpointVM(1), endpointVM(2), endpointVM(3))
	lost := roster.New(2, endpointVM(1), endpointVM(2), endpointVM(3))
	for test, want := range map[string]struct {
		events []director.Event
		state  roster.State
	}{
		"endpoint's report":   {[]director.Event{report(0, start, roster.Leaving(true))}, roster.StateLeaving},
		"the VM list":         {[]director.Event{director.RosterReceived{Roster: listed, At: start}}, roster.StateDelisted},
		"removed from list":   {[]director.Event{director.RosterReceived{Roster: lost, At: start}}, roster.StateDelisted},
		"missed heartbeats":   {otherReports(later), roster.StateSilent},
		"list and heartbeats": {append(otherReports(later), director.RosterReceived{Roster: listed, At: later}), roster.StateDead},
		"missed polls": {[]director.Event{
			director.PollMissed{Endpoint: name(0), At: start}, director.PollMissed{Endpoint: name(0), At: start},
		}, roster.StateSilent},
		"operators": {[]director.Event{director.CatalogReceived{
			Catalog: catalog.New(catalog.Version(1), catalog.Drained(name(0))), At: start,
		}}, roster.StateDrained},
	} {
		t.Run(test, func(t *testing.T) {
			s, _ := apply(reporting(n), want.events...)
			if got := endpointState(t, s, 0); got != want.state {
				t.Errorf("got %q, want %q", got, want.state)
			}
			if got := s.Pool(poolName).Usable(); got != n-1 {
				t.Errorf("%d endpoints get new work, want %d", got, n-1)
			}
		})
	}
}

func TestEndpointReturns(t *testing.T) {
	later := start.Add(screener.ReportTimeout + time.Second)
	s, _ := apply(reporting(4), report(1, later), report(2, later), report(3, later), director.Tick{At: later})
	if got := endpointState(t, s, 0); got != roster.StateSilent {
		t.Fatalf("got %q", got)
	}
	s, _ = apply(s, report(0, later))
	if got := endpointState(t, s, 0); got != roster.StateReady {
		t.Errorf("got %q, want ready at once", got)
	}
}

func TestFalseAlarmsDoNotEmptyThePool(t *testing.T) {
	const n = 12
	later := start.Add(time.Minute)
	for test, alarm := range map[string][]director.Event{
		"empty VM list":       {director.RosterReceived{Roster: roster.New(2), At: start}},
		"no heartbeat at all": {director.Tick{At: later}},
		"every poll missed":   append(missedPolls(n), missedPolls(n)...),
		"every group stalls":  {report(0, start, roster.Stalled(true)), director.Tick{At: start}},
	} {
		t.Run(test, func(t *testing.T) {
			s := reporting(n)
			if test == "every group stalls" {
				for i := range n {
					s, _ = apply(s, report(i, start, roster.Stalled(true)))
				}
			}
			s, effects := apply(s, alarm...)
			if got := s.Pool(poolName).Usable(); got != n/2 {
				t.Errorf("%d endpoints get new work, want %d", got, n/2)
			}
			if len(effects) > 0 {
				t.Errorf("the false alarm led to effects %v", effects)
			}
		})
	}
}

func TestLongPollIntervalExtendsReportTimeout(t *testing.T) {
	const n = 300
	s := reporting(n)
	if s.PollInterval() < 10*time.Second {
		t.Fatalf("%d endpoints are polled every %v", n, s.PollInterval())
	}
	for _, test := range []struct {
		after  time.Duration
		usable int
	}{{s.PollInterval() * 5 / 4, n}, {s.PollInterval() * 2, n / 2}} {
		next, _ := apply(s, director.Tick{At: start.Add(test.after)})
		if got := next.Pool(poolName).Usable(); got != test.usable {
			t.Errorf("%v after the last reports %d endpoints get new work, want %d", test.after, got, test.usable)
		}
	}
}

func TestLeavingReportsMayEmptyThePool(t *testing.T) {
	s := reporting(3)
	for i := range 3 {
		s, _ = apply(s, report(i, start, roster.Leaving(true)))
	}
	if got := s.Pool(poolName).Usable(); got != 0 {
		t.Errorf("%d leaving endpoints get new work", got)
	}
}

func TestStalledRankTakesItsGroupOut(t *testing.T) {
	groups := []string{"a", "a", "b", "b", "c", "c", "", ""}
	vms := make([]roster.VM, len(groups))
	for i, group := range groups {
		vms[i] = endpointVM(i, roster.Group(group))
	}
	s, _ := apply(director.New(), director.RosterReceived{Roster: roster.New(1, vms...), At: start})
	for i := range vms {
		s, _ = apply(s, report(i, start))
	}
	s, _ = apply(s, report(1, start, roster.Stalled(true)))
	want := []roster.State{"stalled", "stalled", "ready", "ready", "ready", "ready", "ready", "ready"}
	for i := range vms {
		if got := endpointState(t, s, i); got != want[i] {
			t.Errorf("%s is %q, want %q", name(i), got, want[i])
		}
	}
	s, _ = apply(s, report(1, start))
	if got := s.Pool(poolName).Usable(); got != len(vms) {
		t.Errorf("%d endpoints get new work after the stall, want %d", got, len(vms))
	}
}

func TestDelistedEndpointIsForgotten(t *testing.T) {
	s, _ := apply(reporting(3), director.RosterReceived{Roster: roster.New(2, endpointVM(0), endpointVM(1)), At: start})
	later := start.Add(screener.ReportTimeout + time.Second)
	s, effects := apply(s, report(0, later), report(1, later), director.Tick{At: later})
	if diff := cmp.Diff([]director.Effect{director.Unwatch{Endpoint: name(2)}}, effects); diff != "" {
		t.Error(diff)
	}
	if _, known := s.Endpoint(name(2)); known {
		t.Error("an endpoint that is neither listed nor reporting is still known")
	}
}

func TestAddressGivenToAnotherVM(t *testing.T) {
	other := roster.NewVM("desk-1", roster.RoleEndpoint, roster.Pool("desk"), roster.PeerAddress(endpointVM(2).PeerAddress()))
	s, effects := apply(reporting(3), director.RosterReceived{Roster: roster.New(2, endpointVM(0), endpointVM(1), other), At: start})
	want := []director.Effect{director.Watch{Endpoint: other}, director.Unwatch{Endpoint: name(2)}}
	if diff := cmp.Diff(want, effects, cmp.Comparer(func(a, b roster.VM) bool { return a == b })); diff != "" {
		t.Error(diff)
	}
	if _, known := s.Endpoint(name(2)); known {
		t.Error("the old VM is still known at an address that now belongs to another VM")
	}
}

func TestEntryUsesASubset(t *testing.T) {
	const entries, n = 8, 200
	vms := make([]roster.VM, 0, entries+n)
	for i := range entries {
		vms = append(vms, roster.NewVM(fmt.Sprintf("entry-%d", i), roster.RoleEntry))
	}
	for i := range n {
		vms = append(vms, endpointVM(i))
	}
	s, effects := apply(director.New(director.Self("entry-3", "")), director.RosterReceived{Roster: roster.New(1, vms...), At: start})
	used := s.Pool(poolName).Len()
	if used < 12 || used > n/2 || used != len(effects) {
		t.Fatalf("uses %d of %d endpoints with %d effects", used, n, len(effects))
	}
	for i := range n {
		if address, ok := s.Address(name(i)); !ok || address != endpointVM(i).PeerAddress() {
			t.Fatalf("no address for %s, to which a ticket may bind a request", name(i))
		}
	}
	s, effects = apply(s, director.RosterReceived{Roster: roster.New(2, vms[1:]...), At: start})
	watched := used
	for _, effect := range effects {
		if _, more := effect.(director.Watch); more {
			watched++
		} else {
			watched--
		}
	}
	if got := s.Pool(poolName).Len(); got != watched {
		t.Errorf("uses %d endpoints and watches %d", got, watched)
	}
}

func TestLeavingEntryIsNotHandedOut(t *testing.T) {
	listed := roster.New(1, roster.NewVM("entry-0", roster.RoleEntry), roster.NewVM("entry-1", roster.RoleEntry),
		roster.NewVM("entry-2", roster.RoleEntry))
	drained := catalog.New(catalog.Version(1), catalog.Drained("entry-1"))
	s, _ := apply(director.New(director.Self("entry-0", "")),
		director.RosterReceived{Roster: listed, At: start}, director.CatalogReceived{Catalog: drained, At: start}, director.Drain{})
	for seed := range uint64(50) {
		entries := s.Entries().List("", seed).Entries()
		if len(entries) != 1 || entries[0].Name() != "entry-2" {
			t.Fatalf("handed out %v, want entry-2 only", entries)
		}
	}
}

func BenchmarkReport(b *testing.B) {
	for _, n := range []int{12, 1_000, 12_000} {
		s := reporting(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				s, _ = director.Step(s, report(i%n, start, roster.Running(i%7, 0)))
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	s := reporting(12_000)
	for b.Loop() {
		s, _ = director.Step(s, director.Tick{At: start})
	}
}
