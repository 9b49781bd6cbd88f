package spec_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
)

// invariant pairs a claim (LTL formula) of publish.pml with the define that leaves out the guard it depends on.
type invariant struct {
	claim string
	guard string
}

var invariants = []invariant{
	{claim: "once", guard: "NOSETTLE"},
	{claim: "not_overwritten", guard: "NOCOND"},
	{claim: "never_reverts", guard: "NOFLOOR"},
}

var (
	errorsFound  = regexp.MustCompile(`errors: (\d+)`)
	statesStored = regexp.MustCompile(`(\d+) states, stored`)
	truncated    = regexp.MustCompile(`max search depth too small|out of memory`)
)

func run(t *testing.T, dir, name string, args ...string) string {
	t.Helper()
	c := exec.CommandContext(t.Context(), name, args...)
	c.Dir = dir
	out, err := c.CombinedOutput()
	if err != nil {
		t.Fatalf("%s %v: %v\n%s", name, args, err, out)
	}
	return string(out)
}

// build compiles the verifier of publish.pml with the given defines and returns the path of its executable.
func build(t *testing.T, defines ...string) string {
	t.Helper()
	text, err := os.ReadFile("publish.pml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "publish.pml"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	generate := make([]string, 1, len(defines)+2)
	generate[0] = "-a"
	for _, define := range defines {
		generate = append(generate, "-D"+define)
	}
	run(t, dir, "spin", append(generate, "publish.pml")...)
	run(t, dir, "gcc", "-O1", "-w", "-DNFAIR=3", "-o", "pan", "pan.c")
	return filepath.Join(dir, "pan")
}

// verify searches all reachable states for a violation of claim and returns the number of errors as Spin prints it.
func verify(t *testing.T, pan, claim string) string {
	t.Helper()
	out := run(t, filepath.Dir(pan), pan, "-a", "-N", claim, "-m100000")
	found, states := errorsFound.FindStringSubmatch(out), statesStored.FindStringSubmatch(out)
	if found == nil || states == nil || truncated.MatchString(out) {
		t.Fatalf("the search did not end:\n%s", out)
	}
	t.Logf("%s: %s states, %s errors", claim, states[1], found[1])
	return found[1]
}

func TestInvariants(t *testing.T) {
	pan := build(t)
	for _, i := range invariants {
		t.Run(i.claim, func(t *testing.T) {
			if found := verify(t, pan, i.claim); found != "0" {
				t.Errorf("%s errors", found)
			}
		})
	}
}

func TestVariantsFail(t *testing.T) {
	for _, i := range invariants {
		t.Run(i.guard, func(t *testing.T) {
			if found := verify(t, build(t, i.guard), i.claim); found == "0" {
				t.Errorf("%s holds without its guard", i.claim)
			}
		})
	}
}
