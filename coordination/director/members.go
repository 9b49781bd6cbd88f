package director

import (
	"maps"
	"slices"

	"github.com/kingcupstile/kingcupstile/coordination/subsetter"
	"github.com/kingcupstile/kingcupstile/state/pool"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// poolUpdate accumulates the pools, and the effects, that follow from a new version of the VM list.
type poolUpdate struct {
	pools    map[string][]roster.Endpoint
	selected map[string]bool
	effects  []Effect
}

func (s State) withRoster(e RosterReceived) (State, []Effect) {
	if e.Roster.Version() <= s.roster.Version() {
		return s, nil
	}
	u := poolUpdate{pools: map[string][]roster.Endpoint{}, selected: map[string]bool{}}
	s.rounds = s.addSelected(&u, e.Roster)
	s.addDelisted(&u, e)
	s.roster, s.pools = e.Roster, make(map[string]pool.Pool, len(u.pools))
	for name, endpoints := range u.pools {
		s.pools[name] = pool.New(endpoints...)
	}
	return s.withUsable().withEndpointStates(e.At), u.effects
}

// addSelected adds the listed endpoints that this daemon uses and returns each pool's number of rounds; see subsetter.
func (s State) addSelected(u *poolUpdate, r roster.Roster) map[string]int {
	var entries []roster.VM
	listed := map[string][]roster.VM{}
	for _, vm := range r.VMs() {
		switch vm.Role() {
		case roster.RoleEntry:
			entries = append(entries, vm)
		case roster.RoleEndpoint:
			listed[vm.Pool()] = append(listed[vm.Pool()], vm)
		}
	}
	rounds := make(map[string]int, len(listed))
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		nearEntries, near := subsetter.Near(s.centre, entries, listed[name])
		rounds[name] = subsetter.Rounds(s.rounds[name], len(nearEntries), len(near))
		for _, vm := range subsetter.Select(s.self, rounds[name], nearEntries, near) {
			endpoint, ok := s.Endpoint(vm.Name())
			if !ok || endpoint.VM().PeerAddress() != vm.PeerAddress() {
				endpoint = roster.NewEndpoint(vm)
				u.effects = append(u.effects, Watch{Endpoint: vm})
			}
			u.pools[name] = append(u.pools[name], endpoint.WithVM(vm))
			u.selected[vm.Name()] = true
		}
	}
	return rounds
}

// addDelisted adds the current endpoints that are missing from the new list, unless another VM has their address, and
// stops watching the listed ones that are no longer selected.
func (s State) addDelisted(u *poolUpdate, e RosterReceived) {
	addresses := map[string]bool{}
	for _, vm := range e.Roster.VMs() {
		addresses[vm.PeerAddress()] = true
	}
	for name, p := range s.pools {
		for i := range p.Len() {
			endpoint := p.At(i)
			_, listed := e.Roster.VM(endpoint.Name())
			switch {
			case u.selected[endpoint.Name()]:
			case listed || addresses[endpoint.VM().PeerAddress()]:
				u.effects = append(u.effects, Unwatch{Endpoint: endpoint.Name()})
			default:
				u.pools[name] = append(u.pools[name], endpoint.WithDelisted(e.At))
			}
		}
	}
}
