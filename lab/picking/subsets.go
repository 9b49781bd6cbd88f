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

// selection returns the endpoints that an entry uses.
type selection func(self string, lots int, entries, endpoints []roster.VM) []roster.VM

// selections are those that are compared.
var selections = []struct {
	name   string
	choose selection
}{
	{"all", func(_ string, _ int, _, endpoints []roster.VM) []roster.VM { return endpoints }},
	{"highest weights", highest},
	{"slices of a ring", slice},
	{"lots", subsetter.Select},
	{"lots, half of the entries use twice as many", mixed},
}

// SubsetsCommand returns the command that compares ways to choose subsets, which writes its tables to out.
func SubsetsCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "subsets",
		Usage: "compare ways to choose the endpoints that each entry uses",
		Action: func(context.Context, *cli.Command) error {
			subsets(out)
			return nil
		},
	}
}

func subsets(out io.Writer) {
	_, _ = fmt.Fprintln(out, "| entries | endpoints | way | subset, least to most | load of an endpoint, least and most over mean |"+
		" moved by an entry more | fewer | by an endpoint more | fewer |")
	_, _ = fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range [][2]int{{9, 12}, {91, 136}, {1000, 1500}} {
		entries, endpoints := vms("entry", roster.RoleEntry, size[0]), vms("runner", roster.RoleEndpoint, size[1])
		for _, s := range selections {
			subsetRow(out, s.name, s.choose, entries, endpoints)
		}
	}
}

func subsetRow(out io.Writer, name string, choose selection, entries, endpoints []roster.VM) {
	lots := subsetter.Rounds(0, len(entries), len(endpoints))
	base := pairs(choose, lots, entries, endpoints)
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
		pairs(choose, lots, moreEntries, endpoints),
		pairs(choose, lots, entries[:len(entries)-1], endpoints),
		pairs(choose, lots, entries, moreEndpoints),
		pairs(choose, lots, entries, endpoints[:len(endpoints)-1]),
	} {
		_, _ = fmt.Fprintf(out, " %.2f%% |", 100*moved(base, changed))
	}
	_, _ = fmt.Fprintln(out)
}

// pairs returns the names of the endpoints that each entry uses.
func pairs(choose selection, lots int, entries, endpoints []roster.VM) map[string]map[string]bool {
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

// moved returns the share of pairs that entries which stay begin to use.
func moved(before, after map[string]map[string]bool) float64 {
	begun, all := 0, 0
	for entry, subset := range before {
		all += len(subset)
		for endpoint := range after[entry] {
			if !subset[endpoint] {
				begun++
			}
		}
	}
	return float64(begun) / float64(all)
}

// mixed uses lots, but not all entries agree on their number.
func mixed(self string, lots int, entries, endpoints []roster.VM) []roster.VM {
	if xxhash.Sum64String(self)%2 == 0 {
		lots *= 2
	}
	return subsetter.Select(self, lots, entries, endpoints)
}

// highest uses the endpoints of the highest weights for the entry.
func highest(self string, _ int, _, endpoints []roster.VM) []roster.VM {
	seed := xxhash.Sum64String(self)
	sorted := slices.SortedFunc(slices.Values(endpoints), func(a, b roster.VM) int {
		return cmp.Compare(mix(xxhash.Sum64String(b.Name())^seed), mix(xxhash.Sum64String(a.Name())^seed))
	})
	return sorted[:min(len(sorted), subsetter.Size)]
}

// slice uses the endpoints in the entry's slice of a ring on which entries are spread evenly.
func slice(self string, _ int, entries, endpoints []roster.VM) []roster.VM {
	byHash := func(a, b roster.VM) int {
		return cmp.Compare(xxhash.Sum64String(a.Name()), xxhash.Sum64String(b.Name()))
	}
	sorted := slices.SortedFunc(slices.Values(entries), byHash)
	ring := slices.SortedFunc(slices.Values(endpoints), byHash)
	at := slices.IndexFunc(sorted, func(vm roster.VM) bool { return vm.Name() == self })
	begin := at * len(ring) / len(sorted)
	subset := make([]roster.VM, 0, subsetter.Size)
	for i := range min(len(ring), subsetter.Size) {
		subset = append(subset, ring[(begin+i)%len(ring)])
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
