package warmer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/placer"
	"github.com/kingcupstile/kingcupstile/coordination/reserver"
	"github.com/kingcupstile/kingcupstile/coordination/warmer"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/rank"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// The deployment of the first customer, and how its machines and links behave.
const (
	runnerCount, entryCount = 72, 34
	slots                   = 10
	rate                    = 250
	period                  = 3 * time.Second
	// probeWait, interval, patience and coldWait are those of entries: the wait for answers to probes, the time between two rounds of
	// them, how long a request looks for room, and the time between two searches while all runners found are cold.
	probeWait, interval, patience, coldWait = 8 * time.Millisecond, 50 * time.Millisecond, 2 * time.Second, 50 * time.Millisecond
	// reportInterval and healthInterval are those of the processes beside runners.
	reportInterval, healthInterval = 40 * time.Millisecond, 250 * time.Millisecond
	// maxDelay is the most by which requests come later than their announcement, and every stalled datagram is late by maxStall.
	maxDelay, maxStall = 30 * time.Millisecond, 40 * time.Millisecond
	stalled            = 0.01
)

// Runners are drawn at random by package placer itself, so that a seed fixes the load and the losses but not the whole replay.

// policy is what the first customer's cold runners may get.
var policy = warmer.NewPolicy(routing.Cold{PerSecond: 17, Period: period}, 1.5, 5)

// event is something that happens in a replay.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simRunner is a runner with the process beside it.
type simRunner struct {
	number int
	runner runner.Runner
	// isUp is whether it is there, starts how often it came back, and coldUntil when it is warm.
	isUp      bool
	starts    int
	coldUntil time.Duration
	// claim is what it says of itself when it is cold, in place of the truth, if that is not 0.
	claim time.Duration
	open  int
	book  reserver.Book
	// isSilent is whether nothing answers probes for it.
	isSilent bool
	// arrivals are the times at which it got requests while it was cold.
	arrivals []time.Duration
}

// left returns how long the runner says that it stays cold.
func (r *simRunner) left(now time.Duration) time.Duration {
	if r.coldUntil > now && r.claim != 0 {
		return r.claim
	}
	return max(0, r.coldUntil-now)
}

// simEntry is an entry with what it knows.
type simEntry struct {
	name    string
	tracker *placer.Tracker
	book    warmer.Book
	// runners are the registered runners as the entry knows them.
	runners []runner.Runner
	// isCutOff is whether nothing but requests gets through between the entry and the runners.
	isCutOff bool
}

// replay is the deployment under load, with a clock of its own.
type replay struct {
	random  *rand.Rand
	now     time.Duration
	events  events
	policy  warmer.Policy
	runners []*simRunner
	entries []*simEntry
	names   []string
	index   map[string]*simRunner
	// beats are the heartbeats that each entry has of others.
	beats []peer.Heartbeat
	// isolated is whether entries do not hear each other, and lost the share of datagrams that are lost.
	isolated bool
	lost     float64
	// work returns how long a runner takes for a request.
	work func(r *simRunner) time.Duration
	// onArrival is called after a cold runner got a request, unless it is nil.
	onArrival func(r *simRunner)
	// served and refused count requests by the second in which they came.
	served, refused map[int]int
}

func newReplay(seed uint64, p warmer.Policy) *replay {
	s := &replay{
		random: rand.New(rand.NewPCG(seed, 1)), policy: p, index: map[string]*simRunner{}, beats: make([]peer.Heartbeat, entryCount-1),
		served: map[int]int{}, refused: map[int]int{}, lost: 0.025,
	}
	s.work = func(*simRunner) time.Duration {
		return time.Second + time.Duration(s.random.Int64N(int64(2200*time.Millisecond)))
	}
	for n := range runnerCount {
		id := fmt.Sprint("r", n)
		r := &simRunner{
			number: n, runner: runner.New(id, "s", id, runner.Slots(slots), runner.Centre(fmt.Sprint("z", n%3))), isUp: true,
			book: reserver.Book{}.WithCold(),
		}
		s.runners = append(s.runners, r)
		s.index[id] = r
		s.in(s.upTo(reportInterval), func() { s.report(r) })
		s.in(s.upTo(healthInterval), func() { s.checkHealth(r) })
	}
	for n := range entryCount {
		e := &simEntry{name: fmt.Sprint("e", n), tracker: placer.NewTracker()}
		for _, r := range s.runners {
			e.runners = append(e.runners, r.runner)
		}
		s.entries, s.names = append(s.entries, e), append(s.names, e.name)
	}
	return s
}

func (s *replay) in(d time.Duration, run func()) {
	heap.Push(&s.events, event{at: s.now + d, run: run})
}

func (s *replay) upTo(d time.Duration) time.Duration { return time.Duration(s.random.Int64N(int64(d))) }

// run replays the load until a time.
func (s *replay) run(until time.Duration) {
	for t := time.Duration(0); t < until; t += time.Duration(s.random.ExpFloat64() * float64(time.Second) / rate) {
		heap.Push(&s.events, event{at: t, run: func() { s.begin() }})
	}
	for len(s.events) > 0 && s.events[0].at < until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *replay) begin() {
	e, came := s.entries[s.random.IntN(len(s.entries))], s.now
	s.search(e, came)
}

// send has a datagram arrive, unless it is lost.
func (s *replay) send(arrive func()) {
	if s.random.Float64() < s.lost {
		return
	}
	delay := 100*time.Microsecond + s.upTo(2*time.Millisecond)
	if s.random.Float64() < stalled {
		delay += s.upTo(maxStall)
	}
	s.in(delay, arrive)
}

func (s *replay) report(r *simRunner) {
	if r.isUp {
		r.book = r.book.WithReport(rank.Load{Open: r.open}, s.now)
	}
	s.in(reportInterval, func() { s.report(r) })
}

func (s *replay) checkHealth(r *simRunner) {
	if r.isUp {
		r.book = r.book.WithStatement(r.left(s.now), s.now)
	}
	s.in(healthInterval, func() { s.checkHealth(r) })
}

// probe asks the processes beside runners for their load, as transport/prober does.
func (s *replay) probe(e *simEntry, asked []*simRunner, done func(loads map[*simRunner]rank.Load)) {
	loads, over := map[*simRunner]rank.Load{}, false
	finish := func() {
		if !over {
			over = true
			done(loads)
		}
	}
	for _, r := range asked {
		s.send(func() {
			load, known := r.book.Load(s.now, time.Second)
			if !known || r.isSilent || e.isCutOff {
				return
			}
			s.send(func() {
				if loads[r] = load; len(loads) == len(asked) {
					finish()
				}
			})
		})
	}
	s.in(probeWait, func() {
		if len(loads) > 0 {
			finish()
			return
		}
		s.in(probeWait, finish)
	})
}

// seen is what an entry knows of a runner.
func (s *replay) seen(e *simEntry, r *simRunner, recent int) warmer.Seen {
	registered := e.runners[r.number].ColdLeft(s.now)
	return warmer.Seen{
		Left: max(registered, e.book.Left(r.runner.ID(), s.now)), Recent: max(recent, e.book.Sent(r.runner.ID(), s.now)),
		Draw: s.random.Float64(),
	}
}

// search places a request as transport/forwarder does.
func (s *replay) search(e *simEntry, came time.Duration) {
	if s.now-came > patience {
		s.refused[int(came/time.Second)]++
		return
	}
	request := placer.Request{Centre: "z0"}
	if s.isolated {
		s.placeUnasked(e, came, request, nil)
		return
	}
	var asked []*simRunner
	for _, r := range placer.Sample(e.runners, request) {
		asked = append(asked, s.byID(r.ID()))
	}
	s.probe(e, asked, func(loads map[*simRunner]rank.Load) {
		if len(loads) == 0 {
			s.placeUnasked(e, came, request, nil)
			return
		}
		var probed []placer.Probed
		for r, l := range loads {
			e.book = e.book.WithReport(r.runner.ID(), l.Cold, s.now)
			probed = append(probed, placer.Probed{Runner: r.runner, Open: l.Open})
		}
		best, hasRoom, _ := e.tracker.View(s.beats, s.now).Choose(probed, request, func(r runner.Runner) int {
			own := s.byID(r.ID())
			return min(r.Slots(), s.policy.Allowed(s.seen(e, own, loads[own].Recent), r.Slots()))
		})
		if !hasRoom {
			s.in(interval, func() { s.search(e, came) })
			return
		}
		s.forward(e, s.byID(best.ID()), came)
	})
}

// placeUnasked places a request without knowing the load of runners, but asks for that of a cold one.
func (s *replay) placeUnasked(e *simEntry, came time.Duration, request placer.Request, passed []string) {
	found, ok := e.tracker.View(s.beats, s.now).Place(e.runners, request.WithAvoided(passed))
	if !ok {
		s.in(coldWait, func() { s.search(e, came) })
		return
	}
	r := s.byID(found.ID())
	if !s.policy.IsOn() || s.seen(e, r, 0).Left == 0 {
		s.forward(e, r, came)
		return
	}
	pass := func() { s.placeUnasked(e, came, request, append(passed, found.ID())) }
	if len(passed) >= 2 {
		pass()
		return
	}
	s.probe(e, []*simRunner{r}, func(loads map[*simRunner]rank.Load) {
		l, answered := loads[r]
		limit, open := s.policy.Target(), l.Open
		if answered {
			e.book = e.book.WithReport(r.runner.ID(), l.Cold, s.now)
		} else {
			limit, open = s.policy.Share(r.runner.ID(), e.name, s.names, true), 0
		}
		if open >= s.policy.Allowed(s.seen(e, r, l.Recent), slots) || e.book.Sent(r.runner.ID(), s.now) >= limit {
			pass()
			return
		}
		s.forward(e, r, came)
	})
}

// forward announces a request and sends it to a runner, which gets it some time later.
func (s *replay) forward(e *simEntry, r *simRunner, came time.Duration) {
	id := r.runner.ID()
	if s.policy.IsOn() && s.seen(e, r, 0).Left > 0 {
		e.book = e.book.WithSent(id, s.now)
	}
	_, done := e.tracker.Begin(id, 0)
	if !e.isCutOff {
		s.send(func() { r.book = r.book.WithAnnounced(s.now) })
	}
	s.in(time.Millisecond+s.upTo(maxDelay), func() {
		if !r.isUp {
			done()
			s.search(e, came)
			return
		}
		if r.coldUntil > s.now {
			r.arrivals = append(r.arrivals, s.now)
		}
		r.open++
		if r.coldUntil > s.now && s.onArrival != nil {
			s.onArrival(r)
		}
		start := r.starts
		s.served[int(came/time.Second)]++
		s.in(10*time.Millisecond, func() { e.book = e.book.WithStatement(id, r.left(s.now), s.now) })
		s.in(s.work(r), func() {
			done()
			if r.starts == start {
				r.open--
			}
		})
	})
}

func (s *replay) byID(id string) *simRunner {
	return s.index[id]
}

// takeAway has runners leave at once.
func (s *replay) takeAway(gone []*simRunner) {
	for _, r := range gone {
		r.isUp, r.open = false, 0
		r.starts++
		for _, e := range s.entries {
			e.runners[r.number] = r.runner.WithState(runner.StateLeaving)
		}
	}
}

// returnCold has a runner come back cold. Entries read its registration up to a second later, and then count from when they read it.
func (s *replay) returnCold(r *simRunner, left time.Duration) {
	r.isUp, r.coldUntil = true, s.now+left
	for _, e := range s.entries {
		s.in(s.upTo(time.Second), func() {
			e.runners[r.number] = r.runner.WithWarmAt(s.now + min(left, period))
		})
	}
}

// busiestSecond returns the most requests that a cold runner got in any second.
func (s *replay) busiestSecond() int {
	most := 0
	for _, r := range s.runners {
		first := 0
		for i, at := range r.arrivals {
			for at-r.arrivals[first] >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// checkBound reports whether a cold runner got more requests in a second than it must.
func (s *replay) checkBound(t *testing.T, seed uint64) {
	t.Helper()
	most := s.busiestSecond()
	t.Logf("seed %d: %d requests in the busiest second of a cold runner, at most %d allowed", seed, most, policy.Bound())
	if most > policy.Bound() {
		t.Errorf("seed %d: a cold runner got %d requests in a second, more than %d", seed, most, policy.Bound())
	}
}

const seeds = 4

// TestManyRunnersComeBackCold takes a third of the runners away under load and has them come back cold at once, while requests wait for
// room. It guards against the requests that wait all going to the empty runners: none gets more than the bound in any second, their
// slots fill in steps, and in the end all requests are served again.
func TestManyRunnersComeBackCold(t *testing.T) {
	for seed := range uint64(seeds) {
		for _, p := range []warmer.Policy{policy, {}} {
			replayReturn(t, seed, p)
		}
	}
}

// replayReturn replays the return of a third of the runners under a policy.
func replayReturn(t *testing.T, seed uint64, p warmer.Policy) {
	t.Helper()
	const goneAt, backAt, until = 2 * time.Second, 5 * time.Second, 13 * time.Second
	s := newReplay(seed, p)
	back, tooMany := s.runners[:24], 0
	s.in(goneAt, func() { s.takeAway(back) })
	// Each request is sent by what was open a few milliseconds before, so that those that are under way may put a runner ahead by up to
	// one step, but not by more.
	s.onArrival = func(r *simRunner) {
		step := min(3, 4*int(period-(r.coldUntil-s.now))/int(period))
		if most := slots * (step + 2) / 5; r.open > most {
			tooMany++
			if p.IsOn() {
				t.Errorf("seed %d: %d requests are open at %s in step %d, more than %d", seed, r.open, r.runner.ID(), step, most)
			}
		}
	}
	for step := range 4 {
		s.in(backAt+period*time.Duration(step+1)/4-time.Millisecond, func() {
			open := 0
			for _, r := range back {
				open += r.open
			}
			t.Logf("seed %d, limits %t: %d requests are open at the cold runners at the end of step %d, whose share is %d", seed, p.IsOn(),
				open, step, len(back)*slots*(step+1)/5)
		})
	}
	s.in(backAt, func() {
		for _, r := range back {
			s.returnCold(r, period)
		}
	})
	s.run(until)
	if !p.IsOn() {
		if tooMany == 0 {
			t.Errorf("seed %d: the load returns in steps without limits, and the replay proves nothing", seed)
		}
		return
	}
	s.checkBound(t, seed)
	second := int(until/time.Second) - 3
	if s.refused[second] > 0 || s.served[second] < rate*8/10 {
		t.Errorf("seed %d: long after they came back, %d requests of a second were refused and %d served", seed, s.refused[second],
			s.served[second])
	}
}

// overload has nearly all load go to one runner: all others are full for good, and requests are short.
func overload(s *replay) *simRunner {
	for _, r := range s.runners[1:] {
		r.open = slots
	}
	s.work = func(*simRunner) time.Duration { return 120 * time.Millisecond }
	return s.runners[0]
}

// TestRunnerTurnsColdUnderLoad has the only runner with room turn cold, which the process beside it finds out by a health check. It guards
// against requests that are sent to it as before; without limits the replay shows them.
func TestRunnerTurnsColdUnderLoad(t *testing.T) {
	for seed := range uint64(seeds) {
		for _, p := range []warmer.Policy{policy, {}} {
			s := newReplay(seed, p)
			r := overload(s)
			s.in(time.Second, func() { r.coldUntil = s.now + period })
			s.run(4500 * time.Millisecond)
			if p.IsOn() {
				s.checkBound(t, seed)
				if len(r.arrivals) < 20 {
					t.Errorf("seed %d: the cold runner got only %d requests", seed, len(r.arrivals))
				}
			} else if s.busiestSecond() <= policy.Bound() {
				t.Errorf("seed %d: the replay keeps to the bound without limits, and proves nothing", seed)
			}
		}
	}
}

// TestNothingAnswersForColdRunners has no process answer for the runners that come back, and then for any. It guards against entries that
// take silence for leave to send: together they keep to the bound, and the load goes on.
func TestNothingAnswersForColdRunners(t *testing.T) {
	for name, silent := range map[string]int{"the cold ones": 24, "any": runnerCount} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newReplay(seed, policy)
				for _, r := range s.runners[:silent] {
					r.isSilent = true
				}
				s.takeAway(s.runners[:24])
				s.in(time.Second, func() {
					for _, r := range s.runners[:24] {
						s.returnCold(r, period)
					}
				})
				s.run(6 * time.Second)
				s.checkBound(t, seed)
				if s.served[3] < rate/2 {
					t.Errorf("seed %d: %d requests of a second were served", seed, s.served[3])
				}
			}
		})
	}
}

// TestIsolatedEntriesKeepToTheBound has entries that do not hear each other, each of which takes itself for the only one. It guards against
// a bound that each of them keeps for itself alone, while all of them, half of them or none get answers from the processes beside runners.
func TestIsolatedEntriesKeepToTheBound(t *testing.T) {
	for name, cutOff := range map[string]int{"all answer": 0, "half answers": entryCount / 2, "none answers": entryCount} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				for _, p := range []warmer.Policy{policy, {}} {
					s := newReplay(seed, p)
					s.isolated, s.beats = true, nil
					for _, e := range s.entries[:cutOff] {
						e.isCutOff = true
					}
					// All but a few runners are gone, so that the few get all of the load.
					s.takeAway(s.runners[4:])
					s.takeAway(s.runners[:1])
					s.work = func(*simRunner) time.Duration { return 30 * time.Millisecond }
					s.in(time.Second, func() { s.returnCold(s.runners[0], period) })
					s.run(5 * time.Second)
					if p.IsOn() {
						s.checkBound(t, seed)
					} else if s.busiestSecond() <= policy.Bound() {
						t.Errorf("seed %d: the replay keeps to the bound without limits, and proves nothing", seed)
					}
				}
			}
		})
	}
}

// TestLostProbes loses one datagram in forty, and one in ten, on the way to and from the only runner with room. It guards against requests
// that are sent without an answer, and against announcements that are not counted.
func TestLostProbes(t *testing.T) {
	for _, lost := range []float64{0.025, 0.1} {
		for seed := range uint64(seeds) {
			s := newReplay(seed, policy)
			s.lost = lost
			r := overload(s)
			s.takeAway(s.runners[:1])
			s.in(time.Second, func() { s.returnCold(r, period) })
			s.run(4 * time.Second)
			s.checkBound(t, seed)
		}
	}
}

// TestOddClaimsOfColdRunners has a runner say that it is cold for an hour, for huge and for negative times: it keeps getting requests, no
// more than the bound, and a negative time counts as none.
func TestOddClaimsOfColdRunners(t *testing.T) {
	for name, claim := range map[string]time.Duration{"an hour": time.Hour, "huge": 1<<63 - 1 - time.Hour} {
		t.Run(name, func(t *testing.T) {
			s := newReplay(1, policy)
			r := overload(s)
			s.in(time.Second, func() {
				r.claim = claim
				s.returnCold(r, 20*time.Second)
			})
			s.run(5 * time.Second)
			s.checkBound(t, 1)
			if len(r.arrivals) < 4*5 {
				t.Errorf("the runner got only %d requests in 4 s", len(r.arrivals))
			}
		})
	}
	b := warmer.Book{}.WithStatement("r", time.Second, time.Second).WithStatement("r", -time.Hour, 1100*time.Millisecond)
	if left := b.Left("r", 1200*time.Millisecond); left != 0 {
		t.Errorf("cold for %v after a negative time", left)
	}
}
