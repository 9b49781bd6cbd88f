package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

// TestObjectiveChangesNoAnswer fills the runners and has callers come who differ in nothing but the objective of their routes, or in
// the time that they have: those of the first kind wait equally long and get the same answer, those of the second do not.
func TestObjectiveChangesNoAnswer(t *testing.T) {
	const fillers = 16
	for _, goal := range []int{40, 500} {
		t.Run(strconv.Itoa(goal), func(t *testing.T) {
			t.Parallel()
			d := newDeploymentWith(t, 2*time.Second, goal)
			d.failAll("pool", site.FaultNoAnswer)
			for range fillers {
				go func() { d.call(http.MethodPost, "/draft/once/x", "", map[string]string{"X-Deadline-Ms": "1500"}) }()
			}
			time.Sleep(100 * time.Millisecond)
			for _, deadline := range []time.Duration{200 * time.Millisecond, 700 * time.Millisecond} {
				start := time.Now()
				a := d.call(http.MethodPost, "/draft/once/x", "", map[string]string{"X-Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10)})
				took := time.Since(start)
				if a.status != http.StatusServiceUnavailable || took < deadline-100*time.Millisecond || took > deadline+50*time.Millisecond {
					t.Errorf("deadline %v: status %d after %v, %v", deadline, a.status, took, a.header)
				}
			}
		})
	}
}
