package spreader

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupstile/kingcupstile/state/roster"
)

// A data centre has one relay per followersPerRelay entries, rounded up, and at least minRelays if it has as many
// entries.
const (
	followersPerRelay = 12
	minRelays         = 2
)

// ringFactor is the ratio between the distances to successive neighbours on the ring.
const ringFactor = 4

// Relays returns the entries of a data centre that watch the platform for the others, chosen by a hash of their names,
// so that all entries with the same VM list agree. An entry that gets no confirmation through a relay for too long
// reads the platform itself.
func Relays(entries []roster.VM, centre string) []roster.VM {
	var local []roster.VM
	for _, vm := range entries {
		if vm.Centre() == centre {
			local = append(local, vm)
		}
	}
	sortByHash(local, func(vm roster.VM) uint64 { return xxhash.Sum64String("relay/" + vm.Name()) })
	n := max(minRelays, (len(local)+followersPerRelay-1)/followersPerRelay)
	return local[:min(n, len(local))]
}

// RankRelays returns the relays other than the named entry in the order in which that entry prefers them.
func RankRelays(relays []roster.VM, name string) []roster.VM {
	ranked := slices.DeleteFunc(slices.Clone(relays), func(vm roster.VM) bool { return vm.Name() == name })
	sortByHash(ranked, func(vm roster.VM) uint64 { return xxhash.Sum64String(name + "/" + vm.Name()) })
	return ranked
}

// Neighbours returns the entries to which the named one sends heartbeats besides its relay: those at distances 1, 4,
// 16 and so on along a ring of all entries, in which those of a data centre are adjacent.
func Neighbours(entries []roster.VM, name string) []roster.VM {
	ring := slices.Clone(entries)
	sortByHash(ring, func(vm roster.VM) uint64 { return xxhash.Sum64String(vm.Name()) })
	slices.SortStableFunc(ring, func(a, b roster.VM) int { return cmp.Compare(a.Centre(), b.Centre()) })
	self := slices.IndexFunc(ring, func(vm roster.VM) bool { return vm.Name() == name })
	if self < 0 {
		return nil
	}
	var neighbours []roster.VM
	for distance := 1; distance < len(ring); distance *= ringFactor {
		neighbours = append(neighbours, ring[(self+distance)%len(ring)])
	}
	return neighbours
}

// entriesOf returns the entries of a VM list that are not leaving and have an address for peers, sorted by name.
func entriesOf(r roster.Roster) []roster.VM {
	return slices.DeleteFunc(r.VMs(), func(vm roster.VM) bool {
		return vm.Role() != roster.RoleEntry || vm.Status() == roster.StatusLeaving || vm.PeerAddress() == ""
	})
}

func sortByHash(vms []roster.VM, hash func(roster.VM) uint64) {
	slices.SortFunc(vms, func(a, b roster.VM) int { return cmp.Compare(hash(a), hash(b)) })
}
