package forwarder_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/platform"
	"github.com/kingcupstile/kingcupstile/standin/site"
	"github.com/kingcupstile/kingcupstile/state/demand"
	"github.com/kingcupstile/kingcupstile/state/evacuation"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/transport/forwarder"
)

// evacuateWithin is the time in which an entry must have stopped sending to a drained data centre.
const evacuateWithin = 5 * time.Second

// newDrainable returns a world whose entry reads which data centres are drained, with one runner in each of the given ones. Where
// probed is false, the load of runners is not asked for.
func newDrainable(t *testing.T, probed bool, centres ...string) *world {
	t.Helper()
	w := newWorld(t, len(centres), overseer.Evacuations(evacuateWithin, 0))
	list := make([]runner.Runner, 0, len(centres))
	for n, centre := range centres {
		id := fmt.Sprint("pool-", n)
		list = append(list, runner.New(id, "pool", w.address[id], runner.Centre(centre), runner.Slots(slots)))
	}
	w.apply(overseer.RunnersListed{Runners: list, At: w.Now()})
	w.apply(overseer.EvacuationsListed{Position: position.New(0, 10), RequestedAt: w.Now(), At: w.Now()})
	if !probed {
		w.forwarder = forwarder.New(w.snapshot, w, platform.Dialect{})
	}
	return w
}

// drain has the entry know that operators drain some data centres, as the gateway does.
func (w *world) drain(centres ...string) {
	e := overseer.EvacuationsChanged{Position: position.New(0, 20), RequestedAt: w.Now(), At: w.Now()}
	for _, centre := range centres {
		e.Changes = append(e.Changes, listing.Change[evacuation.Evacuation]{Name: centre, Position: position.New(0, 20), Valid: true})
	}
	w.apply(e)
	w.forwarder.RefuseClosed()
}

// advance has probes report that the group makes passes, and calls a function at each.
func (w *world) advance(onProbe func()) {
	step := uint64(70)
	w.onProbe = func() {
		step++
		w.setGroup(1, step, true)
		onProbe()
	}
}

// runsAt returns how many requests reached a runner.
func (w *world) runsAt(id string) int { return len(w.runners[id].Runs()) }

// dialectHook calls a function after the runner was chosen, and before the request is written to it.
type dialectHook struct {
	platform.Dialect
	onChosen func(runner string)
}

func (d dialectHook) RequestHeader(header http.Header, t demand.Target) http.Header {
	d.onChosen(t.Runner)
	return d.Dialect.RequestHeader(header, t)
}

// TestDrainedCentreGetsNoRequest drains a data centre before and during requests, and guards against each way in which one may still reach
// a runner there: as the first attempt, after a wait for room, as a retry, as the rest of a stream, beside an attempt that is silent, and
// after the runner was chosen.
func TestDrainedCentreGetsNoRequest(t *testing.T) {
	for name, test := range map[string]struct {
		// centres are those of the runners pool-0, pool-1 and so on; "z" is drained, and the entry is in it.
		centres []string
		path    string
		arrange func(w *world)
		// least is how many requests the runners outside z get.
		least int
	}{
		"first attempt": {[]string{"z", "z", "far"}, "/draft/x", func(w *world) { w.drain("z") }, 1},
		"wait for room": {[]string{"z", "far"}, "/draft/x", func(w *world) {
			w.setOpen(slots)
			time.AfterFunc(100*time.Millisecond, func() {
				w.drain("z")
				w.setOpen(0)
			})
		}, 1},
		"retry": {[]string{"far", "z", "z", "far"}, "/draft/x", func(w *world) {
			w.runners["pool-0"].SetFault(site.FaultShed)
			w.occupy("pool-1", "pool-2", "pool-3")
			w.advance(sync.OnceFunc(func() { time.AfterFunc(time.Millisecond, func() { w.free(); w.drain("z") }) }))
		}, 1},
		"rest of a stream": {[]string{"far", "z", "z", "far"}, "/draft/x", func(w *world) {
			w.runners["pool-0"].SetFault(site.FaultTruncated)
			w.runners["pool-0"].EventInterval = 30 * time.Millisecond
			w.occupy("pool-1", "pool-2", "pool-3")
			w.onProbe = sync.OnceFunc(func() { time.AfterFunc(30*time.Millisecond, func() { w.free(); w.drain("z") }) })
		}, 2},
		"beside a silent one": {[]string{"far", "z", "z", "far"}, "/look/x", func(w *world) {
			w.runners["pool-0"].PauseOnBody("slip", 2500*time.Millisecond)
			w.occupy("pool-1", "pool-2", "pool-3")
			w.onProbe = sync.OnceFunc(func() { time.AfterFunc(50*time.Millisecond, func() { w.free(); w.drain("z") }) })
		}, 2},
		"during the probe": {[]string{"z", "z", "far"}, "/draft/x", func(w *world) {
			w.onProbe = sync.OnceFunc(func() { w.drain("z") })
		}, 1},
		"after the choice": {[]string{"z", "far"}, "/draft/x", func(w *world) {
			w.occupy("pool-1")
			w.onChosen("pool-0", func() { w.free(); w.drain("z") })
		}, 1},
		"after the choice for a retry": {[]string{"far", "z", "far"}, "/draft/x", func(w *world) {
			w.runners["pool-0"].SetFault(site.FaultShed)
			w.advance(func() {})
			w.occupy("pool-1", "pool-2")
			w.onChosen("pool-0", func() { w.free(); w.occupy("pool-0", "pool-2") })
			w.onChosen("pool-1", func() { w.free(); w.drain("z") })
		}, 1},
		"after the choice of one beside a silent one": {[]string{"far", "z", "far"}, "/look/x", func(w *world) {
			w.runners["pool-0"].PauseOnBody("slip", 2500*time.Millisecond)
			w.occupy("pool-1", "pool-2")
			w.onChosen("pool-0", func() { w.free(); w.occupy("pool-0", "pool-2") })
			w.onChosen("pool-1", func() { w.free(); w.drain("z") })
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newDrainable(t, true, test.centres...)
			test.arrange(w)
			a := w.callWith(test.path, "slip")
			drained, others := 0, 0
			for n, centre := range test.centres {
				if id := fmt.Sprint("pool-", n); centre == "z" {
					drained += w.runsAt(id)
				} else {
					others += w.runsAt(id)
				}
			}
			if a.Code != http.StatusOK || drained != 0 || others < test.least {
				t.Errorf("status %d (%s), %d runs in the drained data centre, %d elsewhere", a.Code, a.Body, drained, others)
			}
			if test.path == "/draft/x" && a.Body.String() != wholeStream() {
				t.Errorf("got the stream %q", a.Body)
			}
		})
	}
}

// TestDrainAfterTheChoiceWithoutProbes does the last but two of these where entries are few, also with requests that must not be repeated.
func TestDrainAfterTheChoiceWithoutProbes(t *testing.T) {
	for _, path := range []string{"/draft/x", "/file/x"} {
		w := newDrainable(t, false, "z", "far")
		w.onChosen("pool-0", func() { w.drain("z") })
		if a := w.callWith(path, "slip"); a.Code != http.StatusOK || w.runsAt("pool-0") != 0 || w.runsAt("pool-1") != 1 {
			t.Errorf("%s: status %d, %d and %d runs", path, a.Code, w.runsAt("pool-0"), w.runsAt("pool-1"))
		}
	}
}

// occupy lets probes report runners as full, and free all as empty.
func (w *world) occupy(ids ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.open[w.address[id]] = slots
	}
}

func (w *world) free() { w.setOpen(0) }

// onChosen calls a function once after a runner was chosen, and before the request is written to it; further calls add others.
func (w *world) onChosen(id string, call func()) {
	if w.chosen == nil {
		w.chosen = map[string]func(){}
		d := dialectHook{onChosen: func(chosen string) {
			if f := w.chosen[chosen]; f != nil {
				f()
			}
		}}
		var options []forwarder.Option
		if w.forwarder.IsProbed(w.snapshot(), "pool", entries) {
			options = append(options, forwarder.Probes(w))
		}
		w.forwarder = forwarder.New(w.snapshot, w, d, options...)
	}
	w.chosen[id] = sync.OnceFunc(call)
}

// TestAllDrainedIsRefusedAtOnce guards against callers who wait in vain while operators drain all data centres: before the request came,
// while it waits for room, and while it waits behind others. Answers in progress go on.
func TestAllDrainedIsRefusedAtOnce(t *testing.T) {
	const most = 30*time.Millisecond + scheduling
	for _, probed := range []bool{true, false} {
		for _, path := range []string{"/draft/x", "/look/x", "/file/x"} {
			t.Run(fmt.Sprint(path, " probed ", probed), func(t *testing.T) {
				w := newDrainable(t, probed, "z", "far")
				for _, r := range w.runners {
					r.PauseOnBody("long", 700*time.Millisecond)
				}
				var inProgress, waiting sync.WaitGroup
				var cut, late, served atomic.Int64
				if probed {
					inProgress.Go(func() {
						if a := w.callWith(path, "long"); a.Code != http.StatusOK {
							cut.Add(1)
						}
					})
					time.Sleep(50 * time.Millisecond)
					w.setOpen(slots)
				} else {
					// They take all the room that the entry may use.
					for range 2 * slots {
						inProgress.Go(func() {
							if a := w.callWith(path, "long"); a.Code != http.StatusOK && w.runsOf("long") > 2*slots {
								cut.Add(1)
							}
						})
					}
					time.Sleep(100 * time.Millisecond)
				}
				var drainedAt atomic.Int64
				for range 3 {
					waiting.Go(func() {
						a := w.callWith(path, "slip")
						switch {
						case a.Code == http.StatusOK:
							served.Add(1)
						case !isRefusedWithReturn(a) || w.Now()-time.Duration(drainedAt.Load()) > most:
							late.Add(1)
						}
					})
				}
				time.Sleep(100 * time.Millisecond)
				before := w.runsOf("slip")
				drainedAt.Store(int64(w.Now()))
				w.drain("z", "far")
				start := time.Now()
				a := w.callWith(path, "slip")
				if took := time.Since(start); !isRefusedWithReturn(a) || a.Body.String() != "data-centres-drained\n" || took > most {
					t.Errorf("status %d after %v: %s, headers %v", a.Code, took, a.Body, a.Header())
				}
				waiting.Wait()
				inProgress.Wait()
				if late.Load() > 0 || cut.Load() > 0 || w.runsOf("slip") != before || int(served.Load()) != before {
					t.Errorf("%d waited for long, %d answers were cut, %d of %d ran", late.Load(), cut.Load(), w.runsOf("slip"), before)
				}
			})
		}
	}
}

// isRefusedWithReturn reports whether an answer is a refusal with a time to return.
func isRefusedWithReturn(a *httptest.ResponseRecorder) bool {
	after, err := strconv.ParseFloat(a.Header().Get("Retry-After"), 64)
	return a.Code == http.StatusServiceUnavailable && err == nil && after > 0
}

// TestReturnedCentreIsUsedAgain guards against data centres that stay closed after they returned to service.
func TestReturnedCentreIsUsedAgain(t *testing.T) {
	for _, probed := range []bool{true, false} {
		w := newDrainable(t, probed, "z", "far")
		w.drain("z", "far")
		if a := w.call(); a.Code != http.StatusServiceUnavailable {
			t.Errorf("status %d", a.Code)
		}
		ended := []listing.Change[evacuation.Evacuation]{
			{Name: "z", Position: position.New(0, 30), Removed: true, Valid: true},
		}
		w.apply(overseer.EvacuationsChanged{Changes: ended, Position: position.New(0, 30), RequestedAt: w.Now(), At: w.Now()})
		if a := w.call(); a.Code != http.StatusOK || w.runsAt("pool-0") != 1 {
			t.Errorf("status %d after the return", a.Code)
		}
	}
}

// TestPausedEntrySendsNothingByOldKnowledge stops an entry for seconds in which operators drained a data centre, before it chooses a runner
// and just after: requests wait until it has asked, and are refused if it gets no answer in their time.
func TestPausedEntrySendsNothingByOldKnowledge(t *testing.T) {
	const paused, left = 2900 * time.Millisecond, 300 * time.Millisecond
	pause := func(w *world) {
		w.pause(paused)
		w.configure(2, key)
	}
	for name, test := range map[string]struct {
		arrange  func(w *world)
		deadline time.Duration
	}{
		"before the choice": {pause, left},
		"after the choice": {func(w *world) {
			once := sync.OnceFunc(func() { pause(w) })
			w.onChosen("pool-0", once)
			w.onChosen("pool-1", once)
		}, paused + left},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newDrainable(t, false, "z", "far")
			w.apply(overseer.Tick{At: w.Now()})
			test.arrange(w)
			if a := w.callWithin("/look/x", "slip", test.deadline); !isRefusedWithReturn(a) || w.runs() != 0 {
				t.Errorf("status %d after %d runs: %s", a.Code, w.runs(), a.Body)
			}
			time.AfterFunc(200*time.Millisecond, func() {
				w.apply(overseer.Tick{At: w.Now()})
				w.drain("z")
			})
			if a := w.callWith("/look/x", "slip"); a.Code != http.StatusOK || w.runsAt("pool-0") != 0 || w.runsAt("pool-1") != 1 {
				t.Errorf("status %d, %d runs in the drained data centre: %s", a.Code, w.runsAt("pool-0"), a.Body)
			}
		})
	}
}

// TestDrainEndsTheWaitForAnOutage guards against requests that wait for runners which are down to return, although operators have drained
// the data centres of all meanwhile.
func TestDrainEndsTheWaitForAnOutage(t *testing.T) {
	w := newDrainable(t, true, "z", "far")
	w.setGroup(1, 70, false)
	w.forwarder.RecordLoss("pool", w.Now())
	var drainedAt atomic.Int64
	time.AfterFunc(60*time.Millisecond, func() {
		drainedAt.Store(int64(w.Now()))
		w.drain("z", "far")
	})
	a := w.call()
	took := w.Now() - time.Duration(drainedAt.Load())
	if !isRefusedWithReturn(a) || a.Body.String() != "data-centres-drained\n" || took > 30*time.Millisecond+scheduling || w.runs() != 0 {
		t.Errorf("status %d after %v: %s", a.Code, took, a.Body)
	}
}
