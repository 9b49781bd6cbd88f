package entries

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupstile/kingcupstile/coordination/lister"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// answerState is what an entry knows when it answers a caller; near is by data centre, reported and rotation by entry.
type answerState struct {
	lister   lister.Lister
	random   *rand.Rand
	entries  []roster.VM
	near     map[string][]roster.VM
	reported map[string]float64
	rotation map[string]int
}

// Strategy is a named way to answer a caller near a data centre that asks the entry of the given name.
type Strategy struct {
	name   string
	answer func(s answerState, caller, entry, centre string) []roster.VM
	// useAllNear says that callers spread requests over all addresses of an answer in their data centre; otherwise they
	// use the first address that is alive.
	useAllNear bool
}

// RandomAllNear is the strategy that daemons and callers are to use.
var RandomAllNear = Strategy{name: "random order, callers use all near addresses in turn", answer: randomOrder, useAllNear: true}

// RandomFirst is the strategy of callers that use only the first address that is alive.
var RandomFirst = Strategy{name: "random order", answer: randomOrder}

// Strategies are the strategies that are compared, in the order of the table.
var Strategies = []Strategy{
	RandomFirst,
	{name: "rendezvous by caller", answer: rendezvousOrder},
	{name: "in turn at each entry", answer: rotatingOrder},
	{name: "evened by reported load", answer: loadOrder},
	RandomAllNear,
	{name: "evened by load, callers use all near addresses in turn", answer: loadOrder, useAllNear: true},
}

func randomOrder(s answerState, _, _, centre string) []roster.VM {
	return s.lister.List(centre, s.random.Uint64()).Entries()
}

// rendezvousOrder orders the near entries by rendezvous hashing of the caller's name.
func rendezvousOrder(s answerState, caller, _, centre string) []roster.VM {
	weights := map[string]uint64{}
	for _, vm := range s.near[centre] {
		weights[vm.Name()] = xxhash.Sum64String(vm.Name() + " " + caller)
	}
	return slices.SortedFunc(slices.Values(s.near[centre]), func(a, b roster.VM) int {
		return cmp.Compare(weights[b.Name()], weights[a.Name()])
	})
}

// rotatingOrder is round robin over the near entries, so that each entry hands them out evenly.
func rotatingOrder(s answerState, _, entry, centre string) []roster.VM {
	near := s.near[centre]
	if _, started := s.rotation[entry]; !started {
		s.rotation[entry] = s.random.IntN(len(near))
	}
	s.rotation[entry]++
	rotated := make([]roster.VM, 0, lister.MaxAddresses)
	for i := range min(len(near), lister.MaxAddresses) {
		rotated = append(rotated, near[(s.rotation[entry]+i)%len(near)])
	}
	return rotated
}

// loadOrder orders the entries of a random answer, four at most, by the load that they last reported, those in the
// caller's data centre first.
func loadOrder(s answerState, _, _, centre string) []roster.VM {
	candidates := slices.Clone(s.lister.List(centre, s.random.Uint64()).Entries())
	slices.SortStableFunc(candidates, func(a, b roster.VM) int {
		near := func(vm roster.VM) int {
			if vm.Centre() == centre {
				return 0
			}
			return 1
		}
		return cmp.Or(near(a)-near(b), cmp.Compare(s.reported[a.Name()], s.reported[b.Name()]))
	})
	return candidates
}
