package runner

import (
	"cmp"
	"maps"
	"slices"
)

// Set is the set of registered runners, indexed by identifier, by short key, by service and by address.
type Set struct {
	byID      map[string]Runner
	byKey     map[uint32]Runner
	byService map[string][]Runner
	byAddress map[string]Runner
}

// NewSet returns a set of runners.
func NewSet(runners ...Runner) Set {
	byID := make(map[string]Runner, len(runners))
	for _, r := range runners {
		byID[r.id] = r
	}
	return indexed(byID)
}

// indexed returns the set of the given runners with its index by service.
func indexed(byID map[string]Runner) Set {
	s := Set{
		byID: byID, byKey: make(map[uint32]Runner, len(byID)), byService: map[string][]Runner{},
		byAddress: make(map[string]Runner, len(byID)),
	}
	for _, r := range byID {
		s.byKey[Key(r.id)], s.byKey[IncarnationKey(r.id, r.startedAt)] = r, r
		s.byService[r.service] = append(s.byService[r.service], r)
		if known, found := s.byAddress[r.address]; !found || known.startedAt < r.startedAt {
			s.byAddress[r.address] = r
		}
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b Runner) int { return cmp.Compare(a.id, b.id) })
	}
	return s
}

// Runner returns the runner with an identifier, and false if it is not registered.
func (s Set) Runner(id string) (Runner, bool) {
	r, ok := s.byID[id]
	return r, ok
}

// ByKey returns the runner with a short key that Key or IncarnationKey returns for it, any one of several, and false if there
// is none.
func (s Set) ByKey(key uint32) (Runner, bool) {
	r, ok := s.byKey[key]
	return r, ok
}

// AtAddress returns the runner at an IP address and port, the one that started last if several are registered there, and
// false if there is none.
func (s Set) AtAddress(address string) (Runner, bool) {
	r, ok := s.byAddress[address]
	return r, ok
}

// OfService returns a service's runners in order of identifiers, which the caller must not change.
func (s Set) OfService(service string) []Runner { return s.byService[service] }

// All returns all runners in order of identifiers.
func (s Set) All() []Runner {
	all := make([]Runner, 0, len(s.byID))
	for _, id := range slices.Sorted(maps.Keys(s.byID)) {
		all = append(all, s.byID[id])
	}
	return all
}

// Len returns the number of runners.
func (s Set) Len() int { return len(s.byID) }

// WithRunners returns the set with runners added or replaced.
func (s Set) WithRunners(runners ...Runner) Set {
	byID := maps.Clone(s.byID)
	if byID == nil {
		byID = map[string]Runner{}
	}
	for _, r := range runners {
		byID[r.id] = r
	}
	return indexed(byID)
}

// WithoutCentres returns the set without the runners in data centres for which a function returns true.
func (s Set) WithoutCentres(isLeftOut func(centre string) bool) Set {
	byID := make(map[string]Runner, len(s.byID))
	for id, r := range s.byID {
		if !isLeftOut(r.centre) {
			byID[id] = r
		}
	}
	return indexed(byID)
}

// Without returns the set without the runners that have the given identifiers.
func (s Set) Without(ids ...string) Set {
	byID := maps.Clone(s.byID)
	for _, id := range ids {
		delete(byID, id)
	}
	return indexed(byID)
}
