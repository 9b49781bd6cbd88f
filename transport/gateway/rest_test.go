package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/site"
)

// TestRunnerThatWantsNothingGetsNothing has a runner refuse a request and ask for a pause: it gets no request until the pause
// is over, and is used again after it.
func TestRunnerThatWantsNothingGetsNothing(t *testing.T) {
	d := newDeployment(t)
	d.moveAway("desk-b", "desk")
	a := d.runners["desk-a"]
	a.SetFault(site.FaultShed)
	a.SetRetryAfter("0.7")
	start := time.Now()
	for time.Since(start) < 600*time.Millisecond {
		if got := d.call(http.MethodGet, "/look/", "", nil); got.body != "answer of desk-b\n" {
			t.Errorf("got %+v", got)
		}
	}
	if n := a.Refusals(); n != 1 {
		t.Errorf("%d requests reached the runner in its pause", n)
	}
	a.SetFault(site.FaultNone)
	d.await("used again", func() bool { return d.call(http.MethodGet, "/look/", "", nil).body == "answer of desk-a\n" })
	if took := time.Since(start); took < 700*time.Millisecond {
		t.Errorf("used again after %v", took)
	}
}

// TestAllRunnersWantNothing has all runners ask for a pause: requests are refused at once, and told to return after it.
func TestAllRunnersWantNothing(t *testing.T) {
	d := newDeployment(t)
	d.failAll("desk", site.FaultShed)
	for _, r := range d.runners {
		r.SetRetryAfter("2")
	}
	d.call(http.MethodGet, "/look/", "", nil)
	start := time.Now()
	a := d.call(http.MethodGet, "/look/", "", nil)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if a.status != http.StatusServiceUnavailable || err != nil || after < 1.5 || after > 3 || time.Since(start) > 100*time.Millisecond {
		t.Errorf("got %+v after %v", a, time.Since(start))
	}
	if n := d.runners["desk-a"].Refusals() + d.runners["desk-b"].Refusals(); n != 2 {
		t.Errorf("%d requests reached the runners", n)
	}
}

// TestBadRetryAfterIsADefault has a runner ask for a pause in ways that cannot be read: it rests for a second.
func TestBadRetryAfterIsADefault(t *testing.T) {
	for _, text := range []string{"soon", "-5", "NaN", "1 s"} {
		d := newDeployment(t)
		d.moveAway("desk-b", "desk")
		a := d.runners["desk-a"]
		a.SetFault(site.FaultShed)
		a.SetRetryAfter(text)
		start := time.Now()
		for range 4 {
			if got := d.call(http.MethodGet, "/look/", "", nil); got.body != "answer of desk-b\n" {
				t.Errorf("%s: %+v", text, got)
			}
		}
		if n := a.Refusals(); n != 1 {
			t.Errorf("%s: %d requests reached the runner", text, n)
		}
		a.SetFault(site.FaultNone)
		d.await("used again", func() bool { return d.call(http.MethodGet, "/look/", "", nil).body == "answer of desk-a\n" })
		if took := time.Since(start); took < 900*time.Millisecond || took > 4*time.Second {
			t.Errorf("%s: used again after %v", text, took)
		}
	}
}
