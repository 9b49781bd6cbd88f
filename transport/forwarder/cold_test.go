package forwarder_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/platform"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/rank"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/transport/forwarder"
)

// coldWorld is a world in which some runners are cold by their registrations, and the log of its entry.
type coldWorld struct {
	*world
	log *lockedBuffer
}

// lockedBuffer is a buffer that several goroutines may write.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// newColdWorld returns a world in which the given runners of several stay cold for some time, and a cold one can bear some requests a
// second.
func newColdWorld(t *testing.T, count int, left time.Duration, perSecond float64, cold ...string) *coldWorld {
	t.Helper()
	w := &coldWorld{world: newWorld(t, count), log: &lockedBuffer{}}
	w.setCold(left, cold...)
	table, _ := w.snapshot().Table()
	s, _ := table.Service("pool")
	route := routing.NewRoute("look", "h.example", "/look/", routing.RepeatSafe, routing.Attempts(2), routing.Timeout(5*time.Second),
		routing.Shares(routing.Share{Service: "pool", Weight: 1}))
	w.apply(overseer.ConfigReceived{RequestedAt: w.Now(), Table: routing.NewTable(2, routing.Routes(route),
		routing.Services(s.WithCold(routing.Cold{PerSecond: perSecond, Period: 3 * time.Second})),
		routing.RequireKeys(), routing.Keys(routing.NewAccount("account-1"), key))})
	w.limit(1.5, 5)
	return w
}

// limit makes a new forwarder with a bound on cold runners.
func (w *coldWorld) limit(overage, slack float64) {
	w.forwarder = forwarder.New(w.snapshot, w, platform.Dialect{}, forwarder.Probes(w), forwarder.Cold(overage, slack),
		forwarder.Log(slog.New(slog.NewTextHandler(w.log, nil))))
}

// setCold registers all runners, of which the given ones stay cold for some time.
func (w *coldWorld) setCold(left time.Duration, cold ...string) {
	list := make([]runner.Runner, 0, len(w.address))
	for id, address := range w.address {
		r := runner.New(id, "pool", address, runner.Centre("z"), runner.Slots(slots))
		for _, name := range cold {
			if name == id {
				r = r.WithWarmAt(w.Now() + left)
			}
		}
		list = append(list, r)
	}
	w.apply(overseer.RunnersListed{Runners: list, At: w.Now()})
}

// hearNobody makes the entry hear no other one any more, as time goes on without heartbeats.
func (w *coldWorld) hearNobody() {
	w.pause(20 * time.Second)
	table, _ := w.snapshot().Table()
	w.apply(overseer.ConfigReceived{RequestedAt: w.Now(), Table: table})
}

// look sends a number of requests, each with little time, and returns how many were served.
func (w *coldWorld) look(n int) int {
	served := 0
	for range n {
		if a := w.callWithin("/look/x", "slip", 150*time.Millisecond); a.Code == http.StatusOK {
			served++
		}
	}
	return served
}

// TestColdRunnerIsPassedOver has the process beside the only runner with room report that it got all that it can bear, and then less. It
// guards against requests that go to it all the same, and against a runner that gets none any more.
func TestColdRunnerIsPassedOver(t *testing.T) {
	for name, cold := range map[string]struct {
		registered time.Duration
		reported   rank.Load
	}{
		"by the registration":           {time.Minute, rank.Load{Recent: 17}},
		"by the process beside it":      {0, rank.Load{Recent: 17, Cold: time.Second}},
		"by both, far beyond the bound": {time.Minute, rank.Load{Recent: 4000, Cold: time.Hour}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newColdWorld(t, 2, cold.registered, 17, "pool-0")
			w.setOpen(slots)
			w.open[w.address["pool-0"]] = 0
			w.group = cold.reported
			if got := w.look(3); got != 0 || w.runs() != 0 || len(w.announced) != 0 {
				t.Errorf("%d requests served, %d run, announced %v", got, w.runs(), w.announced)
			}
			w.mu.Lock()
			w.group.Recent = 3
			w.mu.Unlock()
			if got := w.look(3); got != 3 || w.announced[w.address["pool-0"]] != 3 {
				t.Errorf("%d of 3 requests served, announced %v", got, w.announced)
			}
			if n := strings.Count(w.log.String(), "turns cold or warm"); n < 1 || n > 2 {
				t.Errorf("%d log lines of 2 runners:\n%s", n, w.log)
			}
		})
	}
}

// TestStepsOfColdRunner guards against a cold runner whose slots are all used before it is warm: one of four slots at first.
func TestStepsOfColdRunner(t *testing.T) {
	w := newColdWorld(t, 1, time.Minute, 17, "pool-0")
	w.setOpen(1)
	if got := w.look(1); got != 0 {
		t.Error("a second request is sent to a runner that is at its first step")
	}
	w.setCold(500*time.Millisecond, "pool-0")
	if got := w.look(1); got != 1 {
		t.Error("no second request is sent to a runner that is nearly warm")
	}
}

// TestOwnRequestsCountAtOnce guards against an entry that alone sends a cold runner more than that can bear while its own announcements are
// late or lost.
func TestOwnRequestsCountAtOnce(t *testing.T) {
	const count = 60
	w := newColdWorld(t, 1, time.Minute, 5, "pool-0")
	// All requests get the answers to their first probes at the same moment.
	var asked sync.WaitGroup
	asked.Add(count)
	var first atomic.Int32
	w.onProbe = func() {
		if first.Add(1) <= count {
			asked.Done()
			asked.Wait()
		}
	}
	var calls sync.WaitGroup
	for range count {
		calls.Go(func() { w.callWithin("/look/x", "slip", 150*time.Millisecond) })
	}
	calls.Wait()
	if got := w.runs(); got < 1 || got > 5 {
		t.Errorf("%d requests sent within a second, at most 5 allowed", got)
	}
}

// TestNothingAnswersForColdRunner has no process answer: the entry keeps to its share of the bound among the registered entries, and uses
// warm runners.
func TestNothingAnswersForColdRunner(t *testing.T) {
	ids := make([]string, 0, 6)
	for n := range 6 {
		ids = append(ids, fmt.Sprint("pool-", n))
	}
	for name, isAlone := range map[string]bool{"hears others": false, "hears nobody": true} {
		t.Run(name, func(t *testing.T) {
			w := newColdWorld(t, 6, time.Minute, 17, ids...)
			clear(w.open)
			if isAlone {
				w.hearNobody()
				w.setCold(time.Minute, ids...)
			}
			// The share of one of 40 entries is one request or none in a second.
			w.look(20)
			for id, r := range w.runners {
				if n := len(r.Runs()); n > 4 || n > 0 && w.announced[w.address[id]] != n {
					t.Errorf("%d requests sent to %s, announced %v", n, id, w.announced)
				}
			}
			if w.runs() == 0 {
				t.Error("none of the runners got a request")
			}
			w.setCold(time.Minute, ids[1:]...)
			if got := w.look(20); got != 20 {
				t.Errorf("%d of 20 requests served, with a warm runner", got)
			}
			if n := len(w.runners["pool-0"].Runs()); n < 10 {
				t.Errorf("%d requests sent to the warm runner", n)
			}
		})
	}
}

// TestEntryThatHearsNobodyAsksColdRunners guards against an entry that takes itself for the only one and sends to a cold runner that others
// have already sent all that it can bear.
func TestEntryThatHearsNobodyAsksColdRunners(t *testing.T) {
	w := newColdWorld(t, 1, time.Hour, 17, "pool-0")
	w.hearNobody()
	if n := len(w.snapshot().Heartbeats(w.Now())); n != 0 {
		t.Fatalf("%d entries heard", n)
	}
	w.group = rank.Load{Recent: 17, Cold: time.Second}
	if got := w.look(3); got != 0 {
		t.Errorf("%d requests served", got)
	}
	w.mu.Lock()
	w.group.Recent = 0
	w.mu.Unlock()
	if got := w.look(1); got != 1 || w.announced[w.address["pool-0"]] != 1 {
		t.Errorf("%d requests served, announced %v", got, w.announced)
	}
}

// TestRunnerSaysItIsCold has a runner that is registered as warm say in its answers that it is cold, for an hour, and then that it is not.
func TestRunnerSaysItIsCold(t *testing.T) {
	w := newColdWorld(t, 1, 0, 2)
	says := func(ms string) { w.runners["pool-0"].SetCold(ms) }
	says("3600000")
	if got := w.look(10); got < 2 || got > 3 {
		t.Errorf("%d requests served within a second, at most 2 after the first answer", got)
	}
	w.pause(1100 * time.Millisecond)
	says("soon")
	if got := w.look(5); got < 1 || got > 2 {
		t.Errorf("%d requests served after a value that cannot be read, at most 2 allowed", got)
	}
	w.pause(1100 * time.Millisecond)
	says("-1")
	w.look(1)
	if got := w.look(10); got != 10 {
		t.Errorf("%d of 10 requests served by a warm runner", got)
	}
}

// TestWithoutColdSettingsNothingChanges guards against limits, announcements and log lines where the settings or the service do not ask for
// limits: a runner that is cold by all that is known is used like any other.
func TestWithoutColdSettingsNothingChanges(t *testing.T) {
	for name, change := range map[string]func(w *coldWorld){
		"no setting": func(w *coldWorld) {
			w.forwarder = forwarder.New(w.snapshot, w, platform.Dialect{}, forwarder.Probes(w))
		},
		"overage 0": func(w *coldWorld) { w.limit(0, 5) },
		"service":   func(w *coldWorld) { w.configure(3, key) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newColdWorld(t, 1, time.Hour, 2, "pool-0")
			w.runners["pool-0"].SetCold("3600000")
			change(w)
			w.setOpen(slots - 1)
			w.group = rank.Load{Recent: 4000, Cold: time.Hour}
			if got := w.look(20); got != 20 || w.announced[w.address["pool-0"]] != 20 {
				t.Errorf("%d of 20 requests served, announced %v", got, w.announced)
			}
			w.apply(overseer.PeersListed{Peers: []peer.Peer{}, At: w.Now()})
			w.probes = 0
			if got := w.look(20); got != 20 || w.probes > 0 || w.announced[w.address["pool-0"]] != 20 {
				t.Errorf("%d of 20 requests of an entry alone served, %d probes, announced %v", got, w.probes, w.announced)
			}
			if strings.Contains(w.log.String(), "turns cold") {
				t.Error(w.log)
			}
		})
	}
}
