package lister_test

import (
	"fmt"
	"testing"

	"github.com/kingcupstile/kingcupstile/coordination/lister"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// listed returns a VM list with n entries in each of the given data centres.
func listed(n int, centres ...string) roster.Roster {
	r := roster.New(1, roster.NewVM("runner-1", roster.RoleEndpoint, roster.Centre(centres[0])))
	for i := range n * len(centres) {
		r = r.WithVM(entry(i, centres))
	}
	return r
}

func entry(i int, centres []string, options ...roster.VMOption) roster.VM {
	options = append(options, roster.Centre(centres[i%len(centres)]))
	return roster.NewVM(fmt.Sprintf("entry-%d", i), roster.RoleEntry, options...)
}

func TestNearEntriesComeFirst(t *testing.T) {
	centres := []string{"kgl-a", "kgl-b", "kgl-c"}
	for test, want := range map[string]struct {
		lister    lister.Lister
		centre    string
		near, far int
	}{
		"few entries":        {lister.New(listed(3, centres...)), "kgl-b", 3, 1},
		"many entries":       {lister.New(listed(90, centres...)), "kgl-b", 3, 1},
		"few near":           {lister.New(listed(1, centres...)), "kgl-b", 1, 2},
		"one data centre":    {lister.New(listed(9, "kgl-b")), "kgl-b", 4, 0},
		"unknown centre":     {lister.New(listed(3, centres...)), "tas-hobart", 0, 4},
		"an empty VM list":   {lister.New(roster.Roster{}), "kgl-b", 0, 0},
		"no entry is listed": {lister.New(roster.New(1)), "kgl-b", 0, 0},
	} {
		t.Run(test, func(t *testing.T) {
			for seed := range uint64(100) {
				answer := want.lister.List(want.centre, seed).Entries()
				if len(answer) != want.near+want.far {
					t.Fatalf("%d addresses, want %d", len(answer), want.near+want.far)
				}
				names := map[string]bool{}
				for i, vm := range answer {
					names[vm.Name()] = true
					if near := vm.Centre() == want.centre; near != (i < want.near) || vm.Role() != roster.RoleEntry {
						t.Fatalf("%s in %s is at %d", vm.Name(), vm.Centre(), i)
					}
				}
				if len(names) != len(answer) {
					t.Fatalf("duplicate address in %v", answer)
				}
			}
		})
	}
}

func TestLeavingEntriesAreNotHandedOut(t *testing.T) {
	centres := []string{"kgl-a", "kgl-b"}
	r := listed(3, centres...).WithVM(entry(2, centres, roster.InStatus(roster.StatusLeaving)))
	for seed := range uint64(200) {
		for _, vm := range lister.New(r).List("kgl-a", seed).Entries() {
			if vm.Name() == "entry-2" {
				t.Fatal("a leaving entry is in the answer")
			}
		}
	}
}

func TestFirstChoicesAreEven(t *testing.T) {
	const entries, answers = 9, 9000
	l, first := lister.New(listed(entries, "kgl-a")), map[string]int{}
	for seed := range uint64(answers) {
		first[l.List("kgl-a", seed).Entries()[0].Name()]++
	}
	for name, n := range first {
		if n < answers/entries*85/100 || n > answers/entries*115/100 {
			t.Errorf("%s comes first in %d of %d answers", name, n, answers)
		}
	}
}

func BenchmarkList(b *testing.B) {
	centres := make([]string, 11)
	for i := range centres {
		centres[i] = fmt.Sprint("centre-", i)
	}
	l := lister.New(listed(91, centres...))
	for b.Loop() {
		l.List("centre-3", lister.Seed())
	}
}
