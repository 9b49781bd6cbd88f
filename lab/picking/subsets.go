package picking

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/coordination/subsetter"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// subsetChooser returns the endpoints that the entry named self uses.
type subsetChooser func(self string, lots int, entries, endpoints []roster.VM) []roster.VM

// subsetChoosers lists the choosers to compare.
var subsetChoosers = []struct {
	name   string
	choose subsetChooser
}{
	{"all", func(_ string, _ int, _, endpoints []roster.VM) []roster.VM { return endpoints }},
	{"highest weights", rendezvous},
	{"slices of a ring", ringSlice},
	{"lots", subsetter.Select},
	{"lots, half of the entries use twice as many", mixedLots},
}

// SubsetsCommand returns the command that compares subset choosers and writes its table to out.
func SubsetsCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "subsets",
		Usage: "compare ways to choose the endpoints that each entry uses",
		Action: func(context.Context, *cli.Command) error {
			compareSubsets(out)
			return nil
		},
	}
}

func compareSubsets(out io.Writer) {
	_, _ = fmt.Fprintln(out, "| entries | endpoints | way | subset, least to most | load of an endpoint, least and most over mean |"+
		" moved by an entry more | fewer | by an endpoint more | fewer |")
	_, _ = fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range [][2]int{{9, 12}, {91, 136}, {1000, 1500}} {
		entries, endpoints := vms("entry", roster.RoleEntry, size[0]), vms("runner", roster.RoleEndpoint, size[1])
		for _, s := range subsetChoosers {
			printSubsetRow(out, s.name, s.choose, entries, endpoints)
		}
	}
}

func printSubsetRow(out io.Writer, name string, choose subsetChooser, entries, endpoints []roster.VM) {
	lots := subsetter.Rounds(0, len(entries), len(endpoints))
	base := assignments(choose, lots, entries, endpoints)
	load := map[string]float64{}
	smallest, largest := len(endpoints), 0
	for _, subset := range base {
		smallest, largest = min(smallest, len(subset)), max(largest, len(subset))
		for endpoint := range subset {
			load[endpoint] += 1 / float64(len(subset))
		}
	}
	mean := float64(len(entries)) / float64(len(endpoints))
	least, most := mean, mean
	for _, vm := range endpoints {
		least, most = min(least, load[vm.Name()]), max(most, load[vm.Name()])
	}
	_, _ = fmt.Fprintf(out, "| %d | %d | %s | %d to %d | %.2f, %.2f |", len(entries), len(endpoints), name,
		smallest, largest, least/mean, most/mean)
	moreEntries := append(slices.Clone(entries), roster.NewVM("entry-new", roster.RoleEntry))
	moreEndpoints := append(slices.Clone(endpoints), roster.NewVM("runner-new", roster.RoleEndpoint))
	for _, changed := range []map[string]map[string]bool{
		assignments(choose, lots, moreEntries, endpoints),
		assignments(choose, lots, entries[:len(entries)-1], endpoints),
		assignments(choose, lots, entries, moreEndpoints),
		assignments(choose, lots, entries, endpoints[:len(endpoints)-1]),
	} {
		_, _ = fmt.Fprintf(out, " %.2f%% |", 100*movedShare(base, changed))
	}
	_, _ = fmt.Fprintln(out)
}

// assignments returns the names of the endpoints that each entry uses, by the name of the entry.
func assignments(choose subsetChooser, lots int, entries, endpoints []roster.VM) map[string]map[string]bool {
	all := make(map[string]map[string]bool, len(entries))
	for _, entry := range entries {
		subset := map[string]bool{}
		for _, vm := range choose(entry.Name(), lots, entries, endpoints) {
			subset[vm.Name()] = true
		}
		all[entry.Name()] = subset
	}
	return all
}

// movedShare returns how many endpoints the entries of before use only after the change, as a share of all endpoints
// that they used before it.
func movedShare(before, after map[string]map[string]bool) float64 {
	added, all := 0, 0
	for entry, subset := range before {
		all += len(subset)
		for endpoint := range after[entry] {
			if !subset[endpoint] {
				added++
			}
		}
	}
	return float64(added) / float64(all)
}

// mixedLots uses lots while entries disagree on their number: those with an even hash use twice as many.
func mixedLots(self string, lots int, entries, endpoints []roster.VM) []roster.VM {
	if xxhash.Sum64String(self)%2 == 0 {
		lots *= 2
	}
	return subsetter.Select(self, lots, entries, endpoints)
}

// rendezvous uses the endpoints of the highest weight, a hash of the entry and the endpoint, as many as a subset holds.
func rendezvous(self string, _ int, _, endpoints []roster.VM) []roster.VM {
	seed := xxhash.Sum64String(self)
	sorted := slices.SortedFunc(slices.Values(endpoints), func(a, b roster.VM) int {
		return cmp.Compare(mix(xxhash.Sum64String(b.Name())^seed), mix(xxhash.Sum64String(a.Name())^seed))
	})
	return sorted[:min(len(sorted), subsetter.Size)]
}

// ringSlice uses consecutive endpoints of a ring, as many as a subset holds, on which the entries are spread evenly.
func ringSlice(self string, _ int, entries, endpoints []roster.VM) []roster.VM {
	byHash := func(a, b roster.VM) int {
		return cmp.Compare(xxhash.Sum64String(a.Name()), xxhash.Sum64String(b.Name()))
	}
	sorted := slices.SortedFunc(slices.Values(entries), byHash)
	ring := slices.SortedFunc(slices.Values(endpoints), byHash)
	index := slices.IndexFunc(sorted, func(vm roster.VM) bool { return vm.Name() == self })
	first := index * len(ring) / len(sorted)
	subset := make([]roster.VM, 0, subsetter.Size)
	for i := range min(len(ring), subsetter.Size) {
		subset = append(subset, ring[(first+i)%len(ring)])
	}
	return subset
}

func vms(prefix string, role roster.Role, n int) []roster.VM {
	all := make([]roster.VM, n)
	for i := range all {
		all[i] = roster.NewVM(fmt.Sprintf("%s-%d", prefix, i), role)
	}
	return all
}
