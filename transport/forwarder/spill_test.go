package forwarder_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/platform"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/transport/forwarder"
)

const away = "pool-0"

// newSpread returns a world in which pool-0 is in another data centre than the entry and the other three runners.
func newSpread(t *testing.T, options ...forwarder.Option) (w *world, metrics tally.TestScope, log *bytes.Buffer) {
	t.Helper()
	w, metrics, log = newWorld(t, 4), tally.NewTestScope("", nil), &bytes.Buffer{}
	list := make([]runner.Runner, 0, len(w.address))
	for id, address := range w.address {
		centre := "z"
		if id == away {
			centre = "y"
		}
		list = append(list, runner.New(id, "pool", address, runner.Centre(centre), runner.Slots(slots)))
	}
	w.apply(overseer.RunnersListed{Runners: list, At: w.Now()})
	options = append(options, forwarder.Probes(w), forwarder.Metrics(metrics), forwarder.Log(slog.New(slog.NewTextHandler(log, nil))))
	w.forwarder = forwarder.New(w.snapshot, w, platform.Dialect{}, options...)
	return w, metrics, log
}

// spilled returns the value of a counter for the other data centre.
func spilled(metrics tally.TestScope, name string) int64 {
	for _, c := range metrics.Snapshot().Counters() {
		if c.Name() == name && c.Tags()["centre"] == "y" {
			return c.Value()
		}
	}
	return 0
}

// TestTransferCostDecidesWhoLeaves has runners of the own data centre that are busier than one elsewhere. It guards against a change for
// deployments that give no cost: there, the fixed weights send all requests to the other data centre as before. With a cost, those for
// which there is room stay.
func TestTransferCostDecidesWhoLeaves(t *testing.T) {
	for name, test := range map[string]struct {
		options []forwarder.Option
		want    int
	}{
		"no cost given": {nil, 10},
		"cost of 0":     {[]forwarder.Option{forwarder.Transfer(0)}, 10},
		"some cost":     {[]forwarder.Option{forwarder.Transfer(100)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w, metrics, log := newSpread(t, test.options...)
			w.setOpen(2)
			w.open[w.address[away]] = 0
			for range 10 {
				if a := w.call(); a.Code != http.StatusOK {
					t.Fatalf("status %d: %s", a.Code, a.Body)
				}
			}
			if got := len(w.runners[away].Runs()); got != test.want {
				t.Errorf("%d of 10 requests left, want %d", got, test.want)
			}
			if spilled(metrics, "spill_requests") != 0 {
				t.Error("requests are reported as sent by their gain")
			}
			for key := range metrics.Snapshot().Gauges() {
				if strings.Contains(key, "spill") && test.want > 0 {
					t.Errorf("metric %s without a cost", key)
				}
			}
			if test.want > 0 && strings.Contains(log.String(), "data centre") {
				t.Errorf("logged without a cost: %s", log)
			}
		})
	}
}

// TestRequestsLeaveAFullDataCentre has all runners of the own data centre full. It guards against requests that wait there until they are
// refused although another one has room and the cost is small, and against ones that leave at any cost. Operators see both.
func TestRequestsLeaveAFullDataCentre(t *testing.T) {
	for name, test := range map[string]struct {
		cost  float64
		leave bool
	}{"small cost": {100, true}, "more than callers have": {1e12, false}} {
		t.Run(name, func(t *testing.T) {
			w, metrics, log := newSpread(t, forwarder.Transfer(test.cost))
			w.setOpen(slots)
			w.open[w.address[away]] = 0
			const least, most, size = 4, 100, 1000
			const message = "share of requests that may go to another data centre changed"
			// A request leaves by a random draw, and may do so before the share has grown so much that it is reported.
			calls, served := int64(0), int64(0)
			for ; calls < least || test.leave && calls < most && !strings.Contains(log.String(), message); calls++ {
				if a := w.callWithin("/draft/x", strings.Repeat("x", size), 1500*time.Millisecond); a.Code == http.StatusOK {
					served++
				}
			}
			requests, sent := spilled(metrics, "spill_requests"), spilled(metrics, "spill_bytes")
			if test.leave && (served != calls || requests != calls || sent < calls*size ||
				strings.Count(log.String(), message) != 1) {
				t.Errorf("%d of %d served, %d requests and %d bytes reported, log %s", served, calls, requests, sent, log)
			}
			if !test.leave && (served > 0 || requests > 0 || sent > 0) {
				t.Errorf("%d served, %d requests and %d bytes reported", served, requests, sent)
			}
		})
	}
}

// TestOtherDataCentreWithoutAnswers has another data centre that answers no probes and, in turn, the own one without runners that take new
// work. It guards against requests that are sent to a data centre that is cut off, and against ones that stay in an empty one.
func TestOtherDataCentreWithoutAnswers(t *testing.T) {
	w, _, _ := newSpread(t, forwarder.Transfer(100))
	w.setOpen(slots - 1)
	delete(w.open, w.address[away])
	for range 10 {
		if a := w.call(); a.Code != http.StatusOK {
			t.Fatalf("status %d: %s", a.Code, a.Body)
		}
	}
	if n := len(w.runners[away].Runs()); n > 0 {
		t.Errorf("%d requests went to the data centre that is cut off", n)
	}
	w.open[w.address[away]] = 0
	list := make([]runner.Runner, 0, len(w.address))
	for id, address := range w.address {
		centre, state := "z", runner.StateLeaving
		if id == away {
			centre, state = "y", runner.StateReady
		}
		list = append(list, runner.New(id, "pool", address, runner.Centre(centre), runner.Slots(slots), runner.InState(state)))
	}
	w.apply(overseer.RunnersListed{Runners: list, At: w.Now()})
	for i := range 5 {
		if a := w.call(); a.Code != http.StatusOK {
			t.Fatalf("request %d: status %d: %s", i, a.Code, a.Body)
		}
	}
	if n := len(w.runners[away].Runs()); n != 5 {
		t.Errorf("%d of 5 requests ran", n)
	}
}

// TestSharesAreRaceFree sends requests at once from many goroutines, which share what is known of the data centres.
func TestSharesAreRaceFree(t *testing.T) {
	w, _, _ := newSpread(t, forwarder.Transfer(100))
	done := make(chan error)
	for range 20 {
		go func() {
			if a := w.call(); a.Code != http.StatusOK {
				done <- fmt.Errorf("status %d: %s", a.Code, a.Body)
				return
			}
			done <- nil
		}()
	}
	for range 20 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
