package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/platform"
	"github.com/kingcupstile/kingcupstile/transport/timekeeper"
)

// TestColdRunnersFromRegistrationToRequest registers all runners of a service as cold, and then one as warm: with the settings, an entry
// alone sends each cold one what it can bear, and all the rest to the warm one; without them, it serves all requests.
func TestColdRunnersFromRegistrationToRequest(t *testing.T) {
	// Both runners together bear perSecond requests a second.
	const count, perSecond = 30, 4
	for name, overage := range map[string]float64{"with the settings": 1.5, "without": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := arrangeDeployment(t, 2*time.Second, 200)
			cold := func(id string, ms int) {
				d.store.Put("servers", id, map[string]any{
					"service": "desk", "addr": d.addresses[id], "zone": "z", "slots": 4, "state": "ready", "coldLeftMs": ms,
				})
			}
			cold("desk-a", 20_000)
			cold("desk-b", 20_000)
			d.settings.ColdOverage = overage
			if overage > 0 {
				d.runnersOptions = append(d.runnersOptions, platform.Cold(platform.NewWarmTimes(timekeeper.Clock{})))
			}
			d.start()
			start := time.Now()
			served := d.look(count)
			least, most := count, count
			if overage > 0 {
				least, most = 1, perSecond*(1+int(time.Since(start)/time.Second))
			}
			if served < least || served > most {
				t.Errorf("%d of %d requests served in %v, want %d to %d", served, count, time.Since(start), least, most)
			}
			cold("desk-b", 0)
			d.await("warm", func() bool { return d.look(5) == 5 })
			if got := d.look(count); got != count {
				t.Errorf("%d of %d requests served with a warm runner", got, count)
			}
		})
	}
}

// look sends a number of requests, each with little time, and returns how many were served.
func (d *deployment) look(n int) int {
	served := 0
	for range n {
		if a := d.call(http.MethodGet, "/look/x", "", map[string]string{"X-Deadline-Ms": "150"}); a.status == http.StatusOK {
			served++
		}
	}
	return served
}
