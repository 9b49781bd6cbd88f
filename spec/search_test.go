package spec_test

import (
	"os"
	"path/filepath"
	"testing"
)

// search is one run of the verifier: guard is the define that leaves out a guard (empty for none), flags are passed to
// the compiler of the verifier, and fails says whether an error is expected.
type search struct {
	guard string
	flags []string
	fails bool
}

// check runs the search of a model in a subtest, which fails if the search is incomplete or its outcome is not as
// expected.
func (s search) check(t *testing.T, file string, generate ...string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	name := s.guard
	if name == "" {
		name = "all guards"
	}
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, file), text, 0o600); err != nil {
			t.Fatal(err)
		}
		arguments := append([]string{"-a"}, generate...)
		if s.guard != "" {
			arguments = append(arguments, "-D"+s.guard)
		}
		run(t, dir, "spin", append(arguments, file)...)
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
