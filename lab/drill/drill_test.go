package drill_test

import (
	"fmt"
	"testing"

	"github.com/kingcupstile/kingcupstile/lab/drill"
)

// TestAllAreCurrentAfterADrill guards against entries that do not know the state of a restored store in time, or are not registered again,
// and against more calls than the store takes.
func TestAllAreCurrentAfterADrill(t *testing.T) {
	for _, n := range []int{3, 10, 40} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(n, " entries, seed ", seed), func(t *testing.T) {
				t.Parallel()
				r := drill.Run(drill.Scenario{Entries: n, LosesOneIn: 1 + 2*int(seed), Seed: seed, HasEras: true})
				t.Logf("%+v", r)
				if r.Behind > 0 || r.Missing > 0 || r.Current > drill.ApplyTime || r.Registered > drill.RegisterTime {
					t.Errorf("%d behind, %d not registered; current after %v, registered after %v", r.Behind, r.Missing, r.Current, r.Registered)
				}
				if r.Reads > drill.ReadsPerSecond || r.Writes > drill.WritesPerSecond {
					t.Errorf("%d reads and %d writes in one second", r.Reads, r.Writes)
				}
			})
		}
	}
}
