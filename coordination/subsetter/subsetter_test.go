package subsetter_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/subsetter"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

func vms(prefix string, n int, centre func(i int) string) []roster.VM {
	all := make([]roster.VM, n)
	for i := range all {
		all[i] = roster.NewVM(fmt.Sprintf("%s-%d", prefix, i), roster.RoleEndpoint, roster.Centre(centre(i)))
	}
	return all
}

func sameCentre(int) string { return "kgl-a" }

// loads returns each endpoint's load if every entry spreads one unit over its subset, and the size of the smallest
// subset.
func loads(entries, endpoints []roster.VM) (load map[string]float64, smallest int) {
	load, smallest = map[string]float64{}, len(endpoints)
	rounds := subsetter.Rounds(0, len(entries), len(endpoints))
	for _, entry := range entries {
		subset := subsetter.Select(entry.Name(), rounds, entries, endpoints)
		smallest = min(smallest, len(subset))
		for _, vm := range subset {
			load[vm.Name()] += 1 / float64(len(subset))
		}
	}
	return load, smallest
}

func TestLoadStaysEven(t *testing.T) {
	for _, size := range [][2]int{{1, 12}, {9, 12}, {9, 25}, {3, 100}, {91, 136}, {92, 137}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			endpoints := vms("runner", size[1], sameCentre)
			load, smallest := loads(vms("entry", size[0], sameCentre), endpoints)
			mean := float64(size[0]) / float64(size[1])
			for _, vm := range endpoints {
				if math.Abs(load[vm.Name()]/mean-1) > 0.1 {
					t.Errorf("%s has %.2f times the mean load", vm.Name(), load[vm.Name()]/mean)
				}
			}
			if smallest < min(size[1], subsetter.Size/3) {
				t.Errorf("an entry uses %d endpoints only", smallest)
			}
		})
	}
}

func TestAddedEntryChangesItsOwnRoundOnly(t *testing.T) {
	entries, endpoints := vms("entry", 91, sameCentre), vms("runner", 136, sameCentre)
	rounds := subsetter.Rounds(0, len(entries), len(endpoints))
	more := vms("entry", 92, sameCentre)
	if got := subsetter.Rounds(rounds, len(more), len(endpoints)); got != rounds {
		t.Fatalf("%d rounds after one more entry, %d before", got, rounds)
	}
	changed := 0
	for _, entry := range entries {
		before := subsetter.Select(entry.Name(), rounds, entries, endpoints)
		after := subsetter.Select(entry.Name(), rounds, more, endpoints)
		if len(before) != len(after) {
			changed++
		}
	}
	if changed > len(entries)/4 {
		t.Errorf("the subsets of %d of %d entries changed", changed, len(entries))
	}
}

func TestRoundsAreStable(t *testing.T) {
	rounds := subsetter.Rounds(0, 1000, 1500)
	for _, entries := range []int{970, 1000, 1001, 1030, 990} {
		if got := subsetter.Rounds(rounds, entries, 1500); got != rounds {
			t.Errorf("%d rounds with %d entries, want still %d", got, entries, rounds)
		}
	}
}

func TestNear(t *testing.T) {
	centres := func(i int) string { return []string{"kgl-a", "kgl-b", "kgl-c"}[i%3] }
	entries := vms("entry", 9, centres)
	for endpoints, want := range map[int]int{12: 12, 3 * subsetter.Size: subsetter.Size} {
		_, near := subsetter.Near("kgl-b", entries, vms("runner", endpoints, centres))
		if len(near) != want {
			t.Errorf("%d of %d endpoints are near, want %d", len(near), endpoints, want)
		}
	}
}

func BenchmarkSelect(b *testing.B) {
	entries, endpoints := vms("entry", 1000, sameCentre), vms("runner", 12_000, sameCentre)
	rounds := subsetter.Rounds(0, len(entries), len(endpoints))
	for b.Loop() {
		subsetter.Select("entry-7", rounds, entries, endpoints)
	}
}
