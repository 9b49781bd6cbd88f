package overseer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// drainTime is how soon after the store was told that a runner leaves no entry may send it requests any longer.
const drainTime = 2 * time.Second

// TestDrainIsKnownInTime has the store tell a few entries only that a runner leaves, as copies that others read are behind,
// with a tenth of all datagrams lost. An entry that asks the store itself has its answer 100 ms later.
func TestDrainIsKnownInTime(t *testing.T) {
	for _, n := range []int{9, 60, 148} {
		for _, informed := range []int{1, n / 9} {
			t.Run(fmt.Sprintf("%d of %d entries", informed, n), func(t *testing.T) {
				f := newFleet(t, n)
				f.lossRate = 0.1
				r := runner.New("r1", "pool", "h:1")
				for _, name := range f.names {
					f.deliver(name, overseer.RunnersListed{Runners: []runner.Runner{r}, Position: position.New(0, 5), At: f.now})
				}
				f.run(2 * time.Second)
				asked := map[string]time.Duration{}
				f.onRunnersRefresh = func(name string) {
					if asked[name] == 0 {
						asked[name] = f.now
					}
				}
				drained := runner.New("r1", "pool", "h:1", runner.InState(runner.StateLeaving))
				for _, i := range f.random.Perm(n)[:informed] {
					f.deliver(f.names[i], runnerChanged(drained, f.now))
				}
				start := f.now
				for f.now < start+drainTime {
					f.run(step)
					for name, at := range asked {
						if f.now-at >= 100*time.Millisecond {
							f.deliver(name, overseer.RunnersListed{Runners: []runner.Runner{drained}, Position: position.New(0, 6), At: f.now})
						}
					}
				}
				late := 0
				for _, name := range f.names {
					if isReady(f.states[name], "r1") {
						late++
					}
				}
				if late > 0 {
					t.Errorf("%d entries still send requests after %v", late, drainTime)
				}
			})
		}
	}
}
