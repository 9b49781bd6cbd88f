package director

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/lister"
	"github.com/kingcupstile/kingcupstile/coordination/poller"
	"github.com/kingcupstile/kingcupstile/coordination/screener"
	"github.com/kingcupstile/kingcupstile/coordination/spreader"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/pool"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// State is an entry's view of the configuration, the VM list and the endpoints; it is immutable.
type State struct {
	self              string
	centre            string
	catalog           catalog.Catalog
	catalogReceivedAt time.Time
	roster            roster.Roster
	usable            roster.Roster
	entries           lister.Lister
	pools             map[string]pool.Pool
	rounds            map[string]int
	leaving           bool

	spreader spreader.State
	departed []string
}

// Option sets a field of a State under construction.
type Option func(*State)

// Self sets the name of this daemon's VM and the data centre that it is in.
func Self(name, centre string) Option {
	return func(s *State) { s.self, s.centre = name, centre }
}

// New returns the state of an entry that has no configuration and no VM list yet.
func New(options ...Option) State {
	s := State{catalog: catalog.New()}
	for _, option := range options {
		option(&s)
	}
	return s
}

// Catalog returns the configuration in force here.
func (s State) Catalog() catalog.Catalog { return s.catalog }

// CatalogReceivedAt returns when this daemon adopted the configuration in force.
func (s State) CatalogReceivedAt() time.Time { return s.catalogReceivedAt }

// Roster returns the VM list.
func (s State) Roster() roster.Roster { return s.roster }

// Usable returns the VM list with these VMs marked as leaving: drained ones, daemons that are reported as leaving or
// silent, and this daemon itself once it is leaving.
func (s State) Usable() roster.Roster { return s.usable }

// Entries returns the lister of the entries that callers may use.
func (s State) Entries() lister.Lister { return s.entries }

// IsLeaving reports whether this daemon is leaving.
func (s State) IsLeaving() bool { return s.leaving }

// Endpoint returns the named endpoint with its last report and state, and false if it is in none of the pools.
func (s State) Endpoint(name string) (roster.Endpoint, bool) {
	_, p, i, ok := s.find(name)
	if !ok {
		return roster.Endpoint{}, false
	}
	return *p.At(i), true
}

// Address returns the address of the named endpoint, also if the endpoint gets no new work or is outside the subset
// that this daemon uses.
func (s State) Address(endpoint string) (string, bool) {
	if e, ok := s.Endpoint(endpoint); ok {
		return e.VM().PeerAddress(), true
	}
	vm, ok := s.roster.VM(endpoint)
	return vm.PeerAddress(), ok && vm.Role() == roster.RoleEndpoint
}

// Pool returns the endpoints of the named pool that this daemon uses.
func (s State) Pool(name string) pool.Pool { return s.pools[name] }

// PollInterval returns the mean interval between two polls of an endpoint that answers.
func (s State) PollInterval() time.Duration {
	endpoints := 0
	for _, p := range s.pools {
		endpoints += p.Len()
	}
	return poller.Interval(endpoints)
}

// Step applies one event and returns the next state and the effects to carry out.
func Step(s State, event Event) (State, []Effect) {
	switch e := event.(type) {
	case CatalogReceived:
		return s.withCatalog(e), nil
	case RosterReceived:
		return s.withRoster(e)
	case ReportReceived:
		return s.withReport(e), nil
	case PollMissed:
		return s.withMissedPoll(e), nil
	case Tick:
		return s.withTick(e.At)
	case SpreaderEvent:
		return s.withSpreaderEvent(e)
	case Drain:
		s.leaving = true
		return s.withUsable(), nil
	}
	return s, nil
}

func (s State) withCatalog(e CatalogReceived) State {
	if e.Catalog.Version() <= s.catalog.Version() {
		return s
	}
	s.catalog, s.catalogReceivedAt = e.Catalog, e.At
	return s.withUsable().withEndpointStates(e.At)
}

func (s State) withReport(e ReportReceived) State {
	name, p, i, known := s.find(e.Endpoint)
	if !known {
		return s
	}
	return s.withPool(name, s.screener().ApplyReport(p, i, e.Report))
}

func (s State) withMissedPoll(e PollMissed) State {
	name, p, i, known := s.find(e.Endpoint)
	if !known {
		return s
	}
	return s.withPool(name, s.screener().ApplyMissedPoll(p, i, e.At))
}

func (s State) screener() screener.Screener {
	return screener.New(s.catalog.IsDrained, s.PollInterval())
}

// withTick removes delisted endpoints that have expired and updates all endpoint states, among others for missed heartbeats.
func (s State) withTick(now time.Time) (State, []Effect) {
	var effects []Effect
	for name, p := range s.pools {
		expired := s.screener().Expired(p, now)
		if len(expired) == 0 {
			continue
		}
		s = s.withPool(name, p.Without(expired...))
		for _, endpoint := range expired {
			effects = append(effects, Unwatch{Endpoint: endpoint})
		}
	}
	return s.withEndpointStates(now), effects
}

func (s State) withEndpointStates(now time.Time) State {
	pools := make(map[string]pool.Pool, len(s.pools))
	for name, p := range s.pools {
		pools[name] = s.screener().Screen(p, now)
	}
	s.pools = pools
	return s
}

func (s State) withPool(name string, p pool.Pool) State {
	pools := make(map[string]pool.Pool, len(s.pools))
	for other, unchanged := range s.pools {
		pools[other] = unchanged
	}
	pools[name] = p
	s.pools = pools
	return s
}

func (s State) withUsable() State {
	vms := s.roster.VMs()
	for i, vm := range vms {
		if s.isDeparted(vm.Name()) {
			vms[i] = vm.WithStatus(roster.StatusLeaving)
		}
	}
	s.usable = roster.New(s.roster.Version(), vms...)
	s.entries = lister.New(s.usable)
	return s
}

func (s State) isDeparted(vm string) bool {
	return s.catalog.IsDrained(vm) || slices.Contains(s.departed, vm) || s.leaving && vm == s.self
}

// find returns the name of an endpoint's pool, the pool, and the endpoint's index there.
func (s State) find(endpoint string) (name string, p pool.Pool, i int, ok bool) {
	if vm, listed := s.roster.VM(endpoint); listed {
		p = s.pools[vm.Pool()]
		i, ok = p.Find(endpoint)
		return vm.Pool(), p, i, ok
	}
	for name, p := range s.pools {
		if i, ok := p.Find(endpoint); ok {
			return name, p, i, true
		}
	}
	return "", pool.Pool{}, 0, false
}
