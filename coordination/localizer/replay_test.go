package localizer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/localizer"
	"github.com/kingcupstile/kingcupstile/coordination/pacer"
	"github.com/kingcupstile/kingcupstile/coordination/placer"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	seed = 20261206
	ms   = time.Millisecond
	// tick is the step of the replay, and interval the time between two rounds of probes, about a pass of an engine.
	tick, interval = 5 * ms, 50 * ms
	// entriesEach and runnersEach are the entries and runners of one data centre, as at the first customer.
	entriesEach, runnersEach, slots = 11, 24, 10
	// meanWork is how long a runner takes for a request on average.
	meanWork = 2 * time.Second
	// capacity is how many requests a second the runners of one data centre answer.
	capacity = runnersEach * slots / 2.0
	// lookTime is how long a request looks for room, and callTime all the time that its caller has.
	lookTime, callTime = 1600 * ms, 8 * time.Second
	roundTrip          = 2800 * time.Microsecond
	// requestBytes and answerBytes are what a request takes, and transfer is the cost of a megabyte in milliseconds.
	requestBytes, answerBytes = 3_000, 17_000
)

var centres = []string{"a", "b", "c"}

// caller is a request that looks for room.
type caller struct {
	entry, urgency int
	since, next    time.Duration
	draw           float64
	looked         bool
}

// entry is an entry with what it knows.
type entry struct {
	centre    string
	localizer localizer.Localizer
	vacancies map[int]pacer.Vacancy
	// shares are the shares for other data centres at each sample.
	shares map[string][]float64
}

// site replays load in three data centres without a network.
type site struct {
	// arrivals draws the requests, so that they are the same whatever is decided, and random all else.
	arrivals, random *rand.Rand
	// transfer is the cost of a megabyte in milliseconds, and planned whether it decides instead of the fixed weights.
	transfer float64
	planned  bool
	now      time.Duration
	entries  []entry
	runners  []runner.Runner
	open     map[string]int
	ends     map[time.Duration][]string
	waiting  []caller
	// rates are the requests a second in each data centre by urgency.
	rates func(now time.Duration, centre string) []float64
	// silent are data centres whose probes get no answer.
	silent map[string]bool
	// asked, atOnce, lost and left count the requests, those that found room at once, those that did not start in time, and those that
	// were sent to another data centre, which went counts by both.
	asked, atOnce, lost, left int
	went                      map[string]int
	// lossMS is what all callers lost, in milliseconds.
	lossMS float64
	// waitedAtHome holds for how long requests that left had waited, by urgency.
	waitedAtHome map[int][]time.Duration
}

func newSite(transfer float64, planned bool, rates func(now time.Duration, centre string) []float64) *site {
	s := &site{
		arrivals: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)),
		transfer: transfer, planned: planned, rates: rates, open: map[string]int{}, ends: map[time.Duration][]string{},
		silent: map[string]bool{}, went: map[string]int{}, waitedAtHome: map[int][]time.Duration{},
	}
	for _, c := range centres {
		for range entriesEach {
			s.entries = append(s.entries, entry{
				centre: c, localizer: localizer.New(c, transfer).WithAnswer(answerBytes), vacancies: map[int]pacer.Vacancy{},
				shares: map[string][]float64{},
			})
		}
		for i := range runnersEach {
			s.runners = append(s.runners, runner.New(fmt.Sprint(c, i), "s", "h:1", runner.Slots(slots), runner.Centre(c)))
		}
	}
	return s
}

// setReady leaves only some runners of a data centre ready.
func (s *site) setReady(centre string, ready int) {
	for i, r := range s.runners {
		if r.Centre() != centre {
			continue
		}
		state := runner.StateLeaving
		if ready > 0 {
			state = runner.StateReady
		}
		ready--
		s.runners[i] = r.WithState(state)
	}
}

// run replays load for a time.
func (s *site) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += tick {
		for _, id := range s.ends[s.now] {
			s.open[id]--
		}
		delete(s.ends, s.now)
		for i := range s.entries {
			for urgency, rate := range s.rates(s.now, s.entries[i].centre) {
				if s.arrivals.Float64() < rate/entriesEach*tick.Seconds() {
					s.waiting = append(s.waiting, caller{entry: i, urgency: urgency, since: s.now, next: s.now, draw: s.random.Float64()})
				}
			}
		}
		s.random.Shuffle(len(s.waiting), func(i, j int) { s.waiting[i], s.waiting[j] = s.waiting[j], s.waiting[i] })
		s.waiting = slices.DeleteFunc(s.waiting, func(c caller) bool { return c.next <= s.now && s.isOver(&c) })
		for i := range s.waiting {
			if s.waiting[i].next <= s.now {
				s.waiting[i].next, s.waiting[i].looked = s.now+interval, true
			}
		}
		if s.now%(100*ms) == 0 {
			for _, e := range s.entries {
				for _, target := range centres {
					e.shares[target] = append(e.shares[target], e.share(target))
				}
			}
		}
	}
}

// share returns the share in force for another data centre, 0 if there is none.
func (e entry) share(target string) float64 {
	for _, s := range e.localizer.Shares() {
		if s.Centre == target {
			return s.Share
		}
	}
	return 0
}

// isOver has a request look for room once, and reports whether it found room or has to give up.
func (s *site) isOver(c *caller) bool {
	e := &s.entries[c.entry]
	if !c.looked {
		s.asked++
	}
	var links []localizer.Link
	for _, name := range centres {
		if name != e.centre && slices.ContainsFunc(s.runners, func(r runner.Runner) bool { return r.IsReady() && r.Centre() == name }) {
			links = append(links, localizer.Link{Centre: name, RoundTrip: roundTrip})
		}
	}
	request := placer.Request{Centre: e.centre}
	if s.planned {
		look := localizer.Request{
			Urgency: c.urgency, Bytes: requestBytes, Since: c.since, LatestStart: c.since + lookTime, Time: callTime, Interval: interval,
			Wait: e.vacancies[c.urgency].Wait(s.now), Draw: c.draw, Pick: s.random.Float64(),
		}
		e.localizer = e.localizer.WithLinks(links).WithRequest(look, s.now)
		request.Plan = e.localizer.Plan(look, s.now)
	}
	var probed []placer.Probed
	for _, r := range placer.Sample(s.runners, request) {
		answered := !s.silent[r.Centre()] && !s.silent[e.centre] || r.Centre() == e.centre
		if s.planned {
			e.localizer = e.localizer.WithProbe(r.Centre(), func(int) bool { return answered && s.open[r.ID()] < slots }, s.now)
		}
		if answered {
			probed = append(probed, placer.Probed{Runner: r, Open: s.open[r.ID()]})
		}
	}
	best, hasRoom, _ := placer.NewTracker().View(nil, s.now).Choose(probed, request, func(runner.Runner) int { return slots })
	waited := s.now - c.since
	switch {
	case hasRoom:
		s.start(c, best, waited)
	case waited+interval >= lookTime:
		s.lost++
		s.lossMS += float64(callTime / ms)
	default:
		return false
	}
	e.vacancies[c.urgency] = e.vacancies[c.urgency].WithSearch(waited, hasRoom, s.now)
	return true
}

func (s *site) start(c *caller, r runner.Runner, waited time.Duration) {
	if !c.looked {
		s.atOnce++
	}
	if home := s.entries[c.entry].centre; r.Centre() != home {
		s.left++
		s.went[home+r.Centre()]++
		s.waitedAtHome[c.urgency] = append(s.waitedAtHome[c.urgency], waited)
		waited += roundTrip
	}
	s.lossMS += float64(waited) / float64(ms)
	s.open[r.ID()]++
	end := s.now + meanWork/2 + time.Duration(s.random.Int64N(int64(meanWork)))
	end -= end % tick
	s.ends[end] = append(s.ends[end], r.ID())
}

// megabytes returns what was sent between data centres.
func (s *site) megabytes() float64 { return float64(s.left) * (requestBytes + answerBytes) / 1e6 }

// loss returns what the page weighs, in milliseconds for each request: what callers lost, and what the bytes cost.
func (s *site) loss() float64 {
	return (s.lossMS + s.megabytes()*s.transfer) / float64(max(1, s.asked))
}

func (s *site) describe() string {
	return fmt.Sprintf("asked %d, at once %.3f, lost %.3f, callers' loss %.2f ms, left %.3f (%.1f MB), weighed %.2f ms",
		s.asked, float64(s.atOnce)/float64(s.asked), float64(s.lost)/float64(s.asked), s.lossMS/float64(s.asked),
		float64(s.left)/float64(s.asked), s.megabytes(), s.loss())
}

// shares returns the mean share of the entries of a data centre for another one at each sample.
func (s *site) shares(home, target string) []float64 {
	var mean []float64
	for _, e := range s.entries {
		if e.centre != home {
			continue
		}
		for i, share := range e.shares[target] {
			if i == len(mean) {
				mean = append(mean, 0)
			}
			mean[i] += share / entriesEach
		}
	}
	return mean
}

// meanShare returns the last of these.
func (s *site) meanShare(home, target string) float64 {
	shares := s.shares(home, target)
	return shares[len(shares)-1]
}

// swings returns how often the share turned: the mean of all entries by a quarter, or that of single entries by half, on average.
func (s *site) swings(home, target string) int {
	const bySome, byOne = 0.25, 0.5
	sum := 0
	for _, e := range s.entries {
		if e.centre == home {
			sum += turns(e.shares[target], byOne)
		}
	}
	return max(turns(s.shares(home, target), bySome), sum/entriesEach)
}

// turns returns how often a share went up or down by some size after it had gone the other way, the first rise included.
func turns(shares []float64, size float64) int {
	extreme, rises, count := 0.0, true, 0
	for _, share := range shares {
		switch {
		case rises && share-extreme >= size, !rises && extreme-share >= size:
			// A change in the awaited direction: from here on, the extreme is followed until it turns.
			count++
			rises, extreme = !rises, share
		case rises:
			extreme = min(extreme, share)
		default:
			extreme = max(extreme, share)
		}
	}
	return count
}

func constant(load float64) func(time.Duration, string) []float64 {
	return func(time.Duration, string) []float64 { return []float64{load * capacity} }
}

type replay struct {
	rates func(time.Duration, string) []float64
	play  func(s *site)
	// swings is how often the share for another data centre may turn: once for each change of the load, the start included, and once more
	// where another data centre fills up only after a while.
	swings int
	// plays is how often the load is replayed, 1 if it is 0. A short burst, and a load for which there is no room, lose requests by the
	// draws: what is weighed varies by up to a fifth from one replay to the next, and the megabytes by a sixteenth.
	plays int
}

const waves = 3

var replays = map[string]replay{
	"a burst in one data centre": {
		rates: func(now time.Duration, centre string) []float64 {
			if centre == "a" && now >= 10*time.Second && now < 16*time.Second {
				return []float64{1.4 * capacity}
			}
			return []float64{0.7 * capacity}
		},
		play: func(s *site) { s.run(25 * time.Second) }, swings: 3, plays: 6,
	},
	"three waves out of phase": {
		rates: func(now time.Duration, centre string) []float64 {
			phase := 2 * math.Pi * (now.Seconds()/15 + float64(slices.Index(centres, centre))/3)
			return []float64{0.75 * capacity * (1 + 0.55*math.Sin(phase))}
		},
		play: func(s *site) { s.run(waves * 15 * time.Second) }, swings: 1 + 2*waves,
	},
	"a third of the runners": {
		rates: constant(0.6),
		play: func(s *site) {
			s.run(5 * time.Second)
			s.setReady("b", runnersEach/3)
			s.run(20 * time.Second)
		},
		swings: 2,
	},
	"all full": {
		rates: constant(1.3),
		play:  func(s *site) { s.run(10 * time.Second) }, swings: 2, plays: 6,
	},
	"one that comes back": {
		rates: constant(0.6),
		play: func(s *site) {
			s.run(5 * time.Second)
			s.setReady("b", 0)
			s.run(8 * time.Second)
			s.setReady("b", runnersEach)
			s.run(12 * time.Second)
		},
		swings: 4,
	},
	"quiet": {
		rates: constant(0.6),
		play:  func(s *site) { s.run(10 * time.Second) }, swings: 2,
	},
}

// replayed is what replays of one load weigh and send between data centres on average, for each request weighed.
type replayed struct{ weighed, megabytes float64 }

// TestRequestsLeaveWhereItPays replays loads at two costs, one at which leaving is worth a short wait, and one at which it is worth 400 ms.
// It guards against requests that leave without need, as the fixed weights have them do, against callers that wait although others have
// room, and against shares that flap. What the page weighs, the callers' loss and the bytes at their cost, must not be more than with the
// fixed weights, with fewer bytes, and the share may turn twice for each change of the load.
func TestRequestsLeaveWhereItPays(t *testing.T) {
	// Runners are drawn at random, so that two replays of one load differ by a few hundredths.
	const chance = 1.05
	for name, test := range replays {
		for _, transfer := range []float64{2_000, 20_000} {
			t.Run(fmt.Sprint(name, " at ", transfer), func(t *testing.T) {
				t.Parallel()
				play := func(planned bool) (replayed, []*site) {
					sites := make([]*site, max(1, test.plays))
					var mean replayed
					for i := range sites {
						s := newSite(transfer, planned, test.rates)
						test.play(s)
						t.Logf("planned %t: %s", planned, s.describe())
						mean.weighed += s.loss() / float64(len(sites))
						mean.megabytes += s.megabytes() / float64(len(sites))
						sites[i] = s
					}
					return mean, sites
				}
				fixed, _ := play(false)
				planned, sites := play(true)
				if planned.weighed > chance*fixed.weighed {
					t.Errorf("weighed %.1f ms for each request, by fixed weights %.1f ms", planned.weighed, fixed.weighed)
				}
				if planned.megabytes > fixed.megabytes/chance {
					t.Errorf("%.1f MB between data centres, by fixed weights %.1f MB", planned.megabytes, fixed.megabytes)
				}
				for _, s := range sites {
					test.check(t, s, name == "all full")
				}
			})
		}
	}
}

// check reports what must hold in each replay.
func (r replay) check(t *testing.T, s *site, isFull bool) {
	t.Helper()
	if at := float64(s.atOnce) / float64(s.asked); at < 0.9 && !isFull {
		t.Errorf("%.3f of the requests found room at once", at)
	}
	for _, home := range centres {
		for _, target := range centres {
			if n := s.swings(home, target); n > r.swings {
				t.Errorf("the share from %s to %s turned %d times, want %d at most", home, target, n, r.swings)
			}
		}
	}
}

// TestHighCostKeepsRequests guards against a cost that is not heeded: where a megabyte costs as much as callers have in all, nobody leaves
// for the sake of a short wait.
func TestHighCostKeepsRequests(t *testing.T) {
	test := replays["a burst in one data centre"]
	s := newSite(2_000_000, true, test.rates)
	test.play(s)
	if share := s.meanShare("a", "b"); s.left > 0 || share > 0 {
		t.Errorf("%d requests left, share %.2f: %s", s.left, share, s.describe())
	}
}

// TestLessUrgentRequestsStayLonger replays three kinds of requests in a data centre that has too few runners: the less urgent a request is,
// the longer it must have waited on average before it leaves.
func TestLessUrgentRequestsStayLonger(t *testing.T) {
	s := newSite(2_000, true, func(_ time.Duration, centre string) []float64 {
		if centre == "a" {
			return []float64{0.5 * capacity, 0.25 * capacity, 0.75 * capacity}
		}
		return []float64{0.1 * capacity, 0.1 * capacity, 0.1 * capacity}
	})
	s.run(20 * time.Second)
	t.Log(s.describe())
	before := time.Duration(-1)
	for urgency := range 3 {
		waits := s.waitedAtHome[urgency]
		if len(waits) < 50 {
			t.Fatalf("%d requests of urgency %d left", len(waits), urgency)
		}
		sum := time.Duration(0)
		for _, w := range waits {
			sum += w
		}
		mean := sum / time.Duration(len(waits))
		t.Logf("urgency %d: %d left after %v on average", urgency, len(waits), mean)
		if mean <= before {
			t.Errorf("requests of urgency %d left after %v, more urgent ones after %v", urgency, mean, before)
		}
		before = mean
	}
}

// TestCutOffDataCentreIsLeftOut cuts off the only other data centre with room while requests go there. It guards against requests that go
// on to look there, and against a centre that is not found again.
func TestCutOffDataCentreIsLeftOut(t *testing.T) {
	s := newSite(2_000, true, func(_ time.Duration, centre string) []float64 {
		return []float64{map[string]float64{"a": 1.2, "b": 0.2, "c": 1.2}[centre] * capacity}
	})
	s.run(5 * time.Second)
	if got := s.meanShare("a", "b"); got < 0.8 || s.went["ab"] == 0 {
		t.Errorf("share %.2f, %d requests before", got, s.went["ab"])
	}
	s.silent["b"] = true
	went := s.went["ab"]
	s.run(5 * time.Second)
	if got := s.meanShare("a", "b"); got > 0.2 || s.went["ab"] > went {
		t.Errorf("share %.2f, %d requests while it is cut off", got, s.went["ab"]-went)
	}
	delete(s.silent, "b")
	went = s.went["ab"]
	// What waited meanwhile fills its runners at first, so that the share falls once more.
	s.run(10 * time.Second)
	if got := s.meanShare("a", "b"); got < 0.8 || s.went["ab"] == went {
		t.Errorf("share %.2f, %d requests after it came back", got, s.went["ab"]-went)
	}
}
