package soak_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/lab/soak"
)

// regressionSeeds are seeds that failed once, each with the fault that it guards against.
var regressionSeeds = []struct {
	seed   uint64
	drills bool
	cause  string
}{
	{seed: 1, cause: "requests cancelled by the end of the run counted as not served"},
	{seed: 3, cause: "entries trusted keys for less time than they took to ask the store; and the fault of seed 1"},
	{seed: 101, drills: true, cause: "entries whose registrations were lost in a restore of the store were not registered again"},
}

// faultTime is how long faults are injected in each test run; the command's default is longer.
const faultTime = 4 * time.Second

func TestSoak(t *testing.T) {
	folder := t.TempDir()
	binary, err := soak.Build(t.Context(), folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range regressionSeeds {
		t.Run(fmt.Sprint("seed ", s.seed, ", drills ", s.drills), func(t *testing.T) {
			r, err := soak.Run(t.Context(), s.seed, binary, folder, faultTime, soak.Drills(s.drills))
			if err != nil {
				t.Fatal(err)
			}
			if r.Requests < 100 || r.Served == 0 {
				t.Errorf("%d of %d requests served", r.Served, r.Requests)
			}
			for _, line := range r.Violations {
				t.Error(line)
			}
			if t.Failed() {
				t.Log(r.Faults)
			}
		})
	}
}
