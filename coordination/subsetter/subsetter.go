package subsetter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Size is the minimum mean number of endpoints in a subset when the number of rounds is first chosen; a pool of at most
// Size endpoints is used whole.
const Size = 24

// An entry keeps its number of rounds while the mean subset size stays within these limits. The hysteresis avoids new
// subsets when the number of VMs fluctuates.
const (
	minSize = Size * 3 / 4
	maxSize = Size * 5 / 2
)

// Near returns the entries and endpoints from which the subsets of a data centre are chosen: those in the data centre
// if it has at least Size endpoints, otherwise all.
func Near(centre string, entries, endpoints []roster.VM) (nearEntries, nearEndpoints []roster.VM) {
	near := inCentre(centre, endpoints)
	if len(near) < Size {
		return entries, endpoints
	}
	return inCentre(centre, entries), near
}

// Select returns the subset of the endpoints that the named entry uses, given the number of rounds from Rounds.
//
// Entries are hashed by name into rounds. Each round divides all endpoints evenly among its entries, so that each
// endpoint is used by one entry of each round. Adding or removing an entry changes the subsets of its own round only.
func Select(self string, rounds int, entries, endpoints []roster.VM) []roster.VM {
	if len(endpoints) <= Size {
		return endpoints
	}
	round := []string{self}
	for _, entry := range entries {
		if entry.Name() != self && roundOf(entry.Name(), rounds) == roundOf(self, rounds) {
			round = append(round, entry.Name())
		}
	}
	if len(round) == 1 {
		return endpoints
	}
	slices.Sort(round)
	return assign(self, round, endpoints)
}

// Rounds returns the number of rounds, given the previous number, or 0 if there is none. It returns the previous number
// within the limits of hysteresis, otherwise the smallest power of two that gives a mean subset of at least Size.
func Rounds(previous, entries, endpoints int) int {
	if previous > 0 && previous*endpoints >= entries*minSize && previous*endpoints <= entries*maxSize {
		return previous
	}
	rounds := 1
	for rounds*endpoints < entries*Size {
		rounds *= 2
	}
	return rounds
}

// assign returns one entry's share of the endpoints. By rendezvous hashing with a capacity limit, each endpoint goes to
// the entry of the highest weight whose share is not full.
func assign(self string, round []string, endpoints []roster.VM) []roster.VM {
	type share struct {
		seed uint64
		free int
	}
	shares := make([]share, len(round))
	for i, entry := range round {
		shares[i] = share{seed: xxhash.Sum64String(entry), free: len(endpoints) / len(round)}
	}
	// The remainder of the division goes to the first entries by name.
	for i := range len(endpoints) % len(round) {
		shares[i].free++
	}
	own, _ := slices.BinarySearch(round, self)
	var assigned []roster.VM
	for _, e := range sortedByHash(endpoints) {
		best, highest := -1, uint64(0)
		for i, s := range shares {
			if w := mix(e.hash ^ s.seed); s.free > 0 && (best < 0 || w > highest) {
				best, highest = i, w
			}
		}
		shares[best].free--
		if best == own {
			assigned = append(assigned, e.vm)
		}
	}
	return assigned
}

// hashedVM is an endpoint with the hash of its name.
type hashedVM struct {
	hash uint64
	vm   roster.VM
}

func sortedByHash(endpoints []roster.VM) []hashedVM {
	all := make([]hashedVM, len(endpoints))
	for i, vm := range endpoints {
		all[i] = hashedVM{hash: xxhash.Sum64String(vm.Name()), vm: vm}
	}
	slices.SortFunc(all, func(a, b hashedVM) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm.Name(), b.vm.Name()))
	})
	return all
}

func roundOf(entry string, rounds int) uint64 { return mix(xxhash.Sum64String(entry)) % uint64(rounds) }

func inCentre(centre string, vms []roster.VM) []roster.VM {
	var near []roster.VM
	for _, vm := range vms {
		if vm.Centre() == centre {
			near = append(near, vm)
		}
	}
	return near
}

// mix is the finalizer of SplitMix64; it spreads a number over all 64 bits.
func mix(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
