package spec_test

import (
	"os"
	"path/filepath"
	"testing"
)

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
	text, err := os.ReadFile("ranks.pml")
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range rankSearches {
		name := s.guard
		if name == "" {
			name = "all guards"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, "ranks.pml"), text, 0o600); err != nil {
				t.Fatal(err)
			}
			generate := []string{"-a"}
			if s.guard != "" {
				generate = append(generate, "-D"+s.guard)
			}
			if len(s.flags) == 0 {
				generate = append(generate, "-DFLIGHT=1")
			}
			run(t, dir, "spin", append(generate, "ranks.pml")...)
			run(t, dir, "gcc", append(s.flags, "-O2", "-w", "-DSAFETY", "-DCOLLAPSE", "-o", "pan", "pan.c")...)
			out := run(t, dir, filepath.Join(dir, "pan"), "-m300000", "-w26")
			found, states := errorsFound.FindStringSubmatch(out), statesStored.FindStringSubmatch(out)
			if found == nil || states == nil || truncated.MatchString(out) {
				t.Fatalf("the search did not end:\n%s", out)
			}
			t.Logf("%s states, %s errors", states[1], found[1])
			if fails := found[1] != "0"; fails != s.fails {
				t.Errorf("%s errors:\n%s", found[1], out)
			}
		})
	}
}
