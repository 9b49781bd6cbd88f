package spec_test

import "testing"

// rankSearches run ranks.pml with two ranks and one switch, or with more where the failure of a variant needs them.
var rankSearches = []struct {
	search
	generate []string
}{
	{generate: []string{"-DLAST=3"}},
	{generate: []string{"-DLAST=3", "-DTRIES=2", "-DFLIGHT=2", "-DCALM"}},
	{search: search{guard: "NOHOLD", fails: true}},
	{search: search{guard: "EARLYGO", fails: true}},
	{search: search{guard: "EARLYOWN", fails: true}},
	{search: search{guard: "FORWARD", fails: true}},
	{search: search{guard: "ABANDON", fails: true}},
	{search: search{guard: "SAMEVERSION", fails: true}, generate: []string{"-DLAST=3", "-DTRIES=2"}},
	{search: search{guard: "SAMESTEP", fails: true}, generate: []string{"-DLAST=3", "-DTRIES=2"}},
	{search: search{guard: "REUSE", fails: true}, generate: []string{"-DLAST=3", "-DTRIES=2", "-DCALM"}},
	{search: search{guard: "STALEEPOCH", fails: true}, generate: []string{"-DLAST=3", "-DTRIES=2", "-DFLIGHT=2", "-DCALM"}},
	{search: search{guard: "EARLYDISARM", flags: []string{"-DP_REVERSE"}, fails: true}, generate: []string{"-DTHREE"}},
}

func TestRanks(t *testing.T) {
	for _, s := range rankSearches {
		s.check(t, "ranks.pml", s.generate...)
	}
}
