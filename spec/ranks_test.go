package spec_test

import "testing"

// rankSearches are searches of ranks.pml; those with two orders in flight to a rank are visited breadth first, as only
// the shortest failure is wanted.
var rankSearches = []search{
	{},
	{guard: "NOHOLD", fails: true},
	{guard: "EARLYGO", fails: true},
	{guard: "SAMEVERSION", fails: true},
	{guard: "ABANDON", fails: true},
	{guard: "STALEEPOCH", flags: []string{"-DBFS"}, fails: true},
}

func TestRanks(t *testing.T) {
	for _, s := range rankSearches {
		if len(s.flags) > 0 {
			s.check(t, "ranks.pml")
			continue
		}
		s.check(t, "ranks.pml", "-DFLIGHT=1")
	}
}
