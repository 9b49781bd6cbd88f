package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

// TestLeavingRunnerGetsNoMoreRequests has the runner that is tried first say in an answer of some kind that it leaves, while
// the store lists it as ready, or is down: no further request reaches it.
func TestLeavingRunnerGetsNoMoreRequests(t *testing.T) {
	for name, test := range map[string]struct {
		fault       site.Fault
		isStoreDown bool
	}{
		"in an answer":                  {site.FaultNone, false},
		"while the store is down":       {site.FaultNone, true},
		"in a refusal":                  {site.FaultShed, false},
		"in an error":                   {site.FaultError, false},
		"in an answer that breaks off":  {site.FaultTruncated, false},
		"in an answer to another":       {site.FaultWrongID, false},
		"in an answer without its seal": {site.FaultUnsealed, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.moveAway("desk-b", "desk")
			if test.isStoreDown {
				d.store.SetErrorStatus(http.StatusServiceUnavailable)
			}
			a := d.runners["desk-a"]
			a.SetFault(test.fault)
			a.SetLeaving(true)
			d.call(http.MethodGet, "/look/", "", nil)
			time.Sleep(50 * time.Millisecond)
			a.SetFault(site.FaultNone)
			before := len(a.Runs())
			for range 6 {
				if got := d.call(http.MethodGet, "/look/", "", nil); got.body != "answer of desk-b\n" {
					t.Errorf("got %+v", got)
				}
			}
			if n := len(a.Runs()) - before; n != 0 {
				t.Errorf("%d requests reached the runner that leaves", n)
			}
		})
	}
}

// TestRunnerThatStartsAnewIsNoLeaver registers a runner anew under its identifier after it had said that it leaves.
func TestRunnerThatStartsAnewIsNoLeaver(t *testing.T) {
	d := newDeployment(t)
	d.moveAway("desk-b", "desk")
	a := d.runners["desk-a"]
	a.SetLeaving(true)
	d.call(http.MethodGet, "/look/", "", nil)
	a.SetLeaving(false)
	d.store.Put("servers", "desk-a", map[string]any{
		"service": "desk", "addr": d.addresses["desk-a"], "zone": "z", "slots": 4, "state": "ready", "born": 1790000000000,
	})
	d.await("used again", func() bool { return d.call(http.MethodGet, "/look/", "", nil).body == "answer of desk-a\n" })
}
