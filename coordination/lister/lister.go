package lister

import (
	"math/rand/v2"
	"time"

	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Lifetime is how long a caller may cache an answer.
const Lifetime = time.Minute

// MaxAddresses is the largest number of addresses in one answer.
const MaxAddresses = 4

// farAddresses is the minimum number of addresses from other data centres in an answer, if there are any, for failover.
const farAddresses = 1

// Answer is a list of entries in order of preference, with its lifetime.
type Answer struct {
	entries  []roster.VM
	lifetime time.Duration
}

// Entries returns the entries in order of preference; the caller must not change the slice.
func (a Answer) Entries() []roster.VM { return a.entries }

// Lifetime returns how long the answer may be cached.
func (a Answer) Lifetime() time.Duration { return a.lifetime }

// Lister holds the entries in one version of the VM list that are not leaving, by data centre.
type Lister struct {
	all  []roster.VM
	near map[string][]roster.VM
}

// New returns a lister for a version of the VM list.
func New(r roster.Roster) Lister {
	l := Lister{near: map[string][]roster.VM{}}
	for _, vm := range r.VMs() {
		if vm.Role() == roster.RoleEntry && vm.Status() != roster.StatusLeaving {
			l.all = append(l.all, vm)
			l.near[vm.Centre()] = append(l.near[vm.Centre()], vm)
		}
	}
	return l
}

// List returns the answer for a caller near a data centre: entries in that data centre first, then others, each set in
// an order that the seed determines.
func (l Lister) List(centre string, seed uint64) Answer {
	rng := rand.New(rand.NewPCG(seed, 0))
	a := Answer{lifetime: Lifetime}
	near := l.near[centre]
	far := len(l.all) - len(near)
	a.entries = appendRandom(rng, near, MaxAddresses-min(far, farAddresses), a.entries, func(roster.VM) bool { return true })
	a.entries = appendRandom(rng, l.all, MaxAddresses, a.entries, func(vm roster.VM) bool { return vm.Centre() != centre })
	return a
}

// appendRandom appends candidates that accept allows to an answer, in random order, until it has the given length.
func appendRandom(rng *rand.Rand, candidates []roster.VM, want int, to []roster.VM, accept func(roster.VM) bool) []roster.VM {
	// A sparse Fisher-Yates shuffle: it records only the positions that were swapped, and copies nothing.
	swapped := map[int]int{}
	index := func(i int) int {
		if j, ok := swapped[i]; ok {
			return j
		}
		return i
	}
	for i := 0; i < len(candidates) && len(to) < want; i++ {
		j := i + rng.IntN(len(candidates)-i)
		if vm := candidates[index(j)]; accept(vm) {
			to = append(to, vm)
		}
		swapped[j] = index(i)
	}
	return to
}

// Seed returns a random seed for List.
func Seed() uint64 { return rand.Uint64() }
