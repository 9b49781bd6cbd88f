package pacer_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/pacer"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	base   = 18 * time.Millisecond
	maxGap = 120 * time.Millisecond
	// target is the mean gap to hold, as a pass that also reads prompts takes 30 ms longer.
	target = maxGap - 30*time.Millisecond
)

// converge simulates a service whose gap between events grows with its open requests, under more demand than it admits,
// and returns the limit and the gap at the end.
func converge(t *testing.T, perRequest time.Duration, floor float64) (float64, time.Duration) {
	t.Helper()
	p := pacer.New(pacer.Bounds{Floor: floor, Ceiling: 144, TargetGap: target, BaseGap: base})
	now := time.Duration(0)
	gap := base
	for range 600 {
		for p.HasRoom() {
			p = p.WithOpened()
		}
		for float64(p.Open()) > max(1, p.Limit()) {
			p = p.WithClosed()
		}
		gap = base + time.Duration(p.Open())*perRequest
		now += gap
		for range p.Open() {
			p = p.WithGap(gap, now)
		}
	}
	return p.Limit(), gap
}

func TestLimitFollowsGaps(t *testing.T) {
	for name, test := range map[string]struct {
		perRequest time.Duration
		floor      float64
		least      float64
		most       time.Duration
	}{
		"fast":             {300 * time.Microsecond, 10, 140, maxGap},
		"middling":         {time.Millisecond, 10, 55, maxGap},
		"slow":             {4 * time.Millisecond, 10, 14, maxGap},
		"floor is reached": {20 * time.Millisecond, 10, 10, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			limit, gap := converge(t, test.perRequest, test.floor)
			if limit < test.least || gap > test.most {
				t.Errorf("limit %g, gap %v", limit, gap)
			}
		})
	}
}

// TestBoundsOfManyEntries has entries with an even share of the callers before a group, under more demand than it admits: the gaps stay in
// time, also where half of the slots are too many for that, and all slots are used where they are not. A new entry starts at its share.
func TestBoundsOfManyEntries(t *testing.T) {
	const entries, runners, slots = 9, 12, 12
	list := make([]runner.Runner, 0, runners)
	for n := range runners {
		list = append(list, runner.New(fmt.Sprint(n), "pool", "127.0.0.1:1", runner.Slots(slots)))
	}
	service := routing.NewService("pool", 0, routing.Engine{StepTime: base / 4, StepsPerPass: 4, ChunkTokens: 450, PrefillRate: 60000})
	for name, test := range map[string]struct {
		perOpen time.Duration
		least   float64
	}{
		"fast": {4 * time.Millisecond, slots - 1}, "half of the slots are too many": {20 * time.Millisecond, 3},
		"more than two at a runner are": {45 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := pacer.New(pacer.BoundsFor(service, list, entries, maxGap))
			if p.Limit() != runners*slots/entries {
				t.Errorf("limit %g at first", p.Limit())
			}
			now, gap, perRunner := time.Duration(0), base, 0.0
			for range 600 {
				for p.HasRoom() {
					p = p.WithOpened()
				}
				for float64(p.Open()) > max(1, p.Limit()) {
					p = p.WithClosed()
				}
				perRunner = float64(p.Open()) * entries / runners
				gap = base + time.Duration(perRunner*float64(test.perOpen))
				now += gap
				for range p.Open() {
					p = p.WithGap(gap, now)
				}
			}
			if gap > maxGap || perRunner < test.least {
				t.Errorf("gap %v with %.1f requests at a runner", gap, perRunner)
			}
		})
	}
}

// TestLongestGapLeavesTimeToRead takes the mean gap to hold from the longest one and the engine: a pass that also reads prompts is in
// time, too, unless it is too long by itself.
func TestLongestGapLeavesTimeToRead(t *testing.T) {
	engine := routing.Engine{StepTime: 4500 * time.Microsecond, StepsPerPass: 4, ChunkTokens: 512, PrefillRate: 64000}
	slow := engine
	slow.ChunkTokens = 2048
	unknown := engine
	unknown.ChunkTokens = 0
	list := []runner.Runner{runner.New("a", "pool", "127.0.0.1:1", runner.Slots(8))}
	for name, test := range map[string]struct {
		engine routing.Engine
		want   time.Duration
	}{
		"in time": {engine, maxGap - 32*time.Millisecond}, "too long by itself": {slow, maxGap}, "not known": {unknown, maxGap},
	} {
		b := pacer.BoundsFor(routing.NewService("pool", 0, test.engine), list, 1, maxGap)
		if b.TargetGap != test.want || b.BaseGap != base {
			t.Errorf("%s: %v and %v, want %v and %v", name, b.TargetGap, b.BaseGap, test.want, base)
		}
	}
}

// TestLimitWaitsForStreamsToEnd guards against a limit that shrinks on while the streams that are too many have not ended yet, so that
// requests are refused long after they have: twice as many are open as the gaps allow, and end one after the other.
func TestLimitWaitsForStreamsToEnd(t *testing.T) {
	const inTime = 20
	p := pacer.New(pacer.Bounds{Floor: 1, Start: 2 * inTime, Ceiling: 100, TargetGap: target, BaseGap: base})
	for p.HasRoom() {
		p = p.WithOpened()
	}
	for i := range 60 {
		gap := base + time.Duration(p.Open())*(target-base)/inTime
		for range 4 {
			p = p.WithGap(gap, time.Duration(i+1)*200*time.Millisecond)
		}
		if p.Limit() < inTime*3/4 {
			t.Fatalf("limit %.1f with %d open after %d gaps", p.Limit(), p.Open(), 4*i)
		}
		if float64(p.Open()) > p.Limit() {
			p = p.WithClosed()
		} else if p.HasRoom() {
			p = p.WithOpened()
		}
	}
	if p.Open() < inTime-2 || p.Open() > inTime+2 {
		t.Errorf("%d open at the end", p.Open())
	}
}

// second is a time on the gate's clock.
const second = time.Second

// asks returns a request of some priority that may wait for a time.
func asks(priority int, wait time.Duration) pacer.Request {
	return pacer.Request{Priority: priority, At: second, LatestStart: second + wait}
}

// newFullGate returns a gate with all of its requests open, and the functions that end them.
func newFullGate(t *testing.T, limit int) (*pacer.Gate, []func()) {
	t.Helper()
	g := pacer.NewGate(pacer.New(pacer.Bounds{Floor: float64(limit), Ceiling: float64(limit)}))
	releases := make([]func(), 0, limit)
	for range limit {
		release, ok := g.Acquire(t.Context(), asks(1, 0))
		if !ok {
			t.Fatal("no room")
		}
		releases = append(releases, release)
	}
	return g, releases
}

// TestGateOrder has requests come one after the other while nothing is admitted: they are admitted by priority, and those of one
// priority in the order in which their callers run out of time, whenever they came.
func TestGateOrder(t *testing.T) {
	for name, test := range map[string]struct {
		requests []pacer.Request
		want     []int
	}{
		"by priority":       {[]pacer.Request{asks(3, 5*second), asks(1, 5*second)}, []int{1, 0}},
		"by the time left":  {[]pacer.Request{asks(1, 9*second), asks(1, 5*second), asks(1, 7*second)}, []int{1, 2, 0}},
		"by arrival":        {[]pacer.Request{asks(1, 5*second), asks(1, 5*second)}, []int{0, 1}},
		"priority is first": {[]pacer.Request{asks(2, 5*second), asks(1, 9*second)}, []int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			g, releases := newFullGate(t, 1)
			order := make(chan int, len(test.requests))
			for i, r := range test.requests {
				go func() {
					done, ok := g.Acquire(t.Context(), r)
					if ok {
						order <- i
						done()
					}
				}()
				for g.Waiting() != i+1 {
					time.Sleep(time.Millisecond)
				}
			}
			releases[0]()
			got := make([]int, 0, len(test.requests))
			for range test.requests {
				got = append(got, <-order)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("admitted in the order %v, want %v", got, test.want)
			}
		})
	}
}

// TestGateRefusesAtOnceWhatIsNotServedInTime guards against requests that wait until their callers have no time left although it is
// known that too many are ahead of them.
func TestGateRefusesAtOnceWhatIsNotServedInTime(t *testing.T) {
	const usual = 400 * time.Millisecond
	ask := func(priority int, wait time.Duration) pacer.Request {
		r := asks(priority, wait)
		r.Duration = usual
		return r
	}
	g, releases := newFullGate(t, 4)
	// One of four requests ends every 100 ms.
	begin := func(r pacer.Request) <-chan bool {
		result := make(chan bool, 1)
		go func() {
			_, ok := g.Acquire(t.Context(), r)
			result <- ok
		}()
		return result
	}
	queue := func(r pacer.Request) <-chan bool {
		before := g.Waiting()
		result := begin(r)
		for g.Waiting() == before {
			time.Sleep(time.Millisecond)
		}
		return result
	}
	early, later := queue(ask(2, 190*time.Millisecond)), queue(ask(2, 290*time.Millisecond))
	start := time.Now()
	if _, ok := g.Acquire(t.Context(), ask(2, 295*time.Millisecond)); ok || time.Since(start) > 50*time.Millisecond {
		t.Errorf("admitted %t after %v, behind two", ok, time.Since(start))
	}
	latest := queue(ask(2, 390*time.Millisecond))
	// One that goes before them all leaves too little time for the first, in whose place the others stay.
	urgent := begin(ask(1, second))
	select {
	case ok := <-early:
		if ok {
			t.Error("the first was admitted")
		}
	case <-time.After(50 * time.Millisecond):
		t.Error("the first still waits")
	}
	if len(later) > 0 || len(latest) > 0 {
		t.Error("requests that can still be served were refused")
	}
	releases[0]()
	if !<-urgent {
		t.Error("the urgent one was not admitted")
	}
}

// TestStallIsNotHowLongRunnersTake guards against estimates that a group which stood still for seconds makes too long: it tells answers
// that came in such a time from those of an idle or a busy service.
func TestStallIsNotHowLongRunnersTake(t *testing.T) {
	const ms = time.Millisecond
	// events holds when events of a stream come; asked is when a request is sent, and answered when its first event comes.
	for name, test := range map[string]struct {
		events          []time.Duration
		asked, answered time.Duration
		want            bool
	}{
		"idle":                 {nil, 10 * second, 12 * second, false},
		"idle for long":        {[]time.Duration{second, second + 50*ms}, 10 * second, 12 * second, false},
		"busy":                 {[]time.Duration{10 * second, 10*second + 200*ms, 10*second + 400*ms}, 10 * second, 10*second + 450*ms, false},
		"a stream has gone on": {[]time.Duration{10 * second, 12 * second}, 10*second + 100*ms, 12 * second, true},
		"before a stream does": {[]time.Duration{10 * second, 10*second + 50*ms}, 10*second + 100*ms, 12 * second, true},
		"asked after it":       {[]time.Duration{10 * second, 12 * second, 12*second + 100*ms}, 12*second + 50*ms, 12*second + 200*ms, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := pacer.NewGate(pacer.New(pacer.Bounds{Floor: 1, Ceiling: 1}))
			for i := 1; i < len(test.events); i++ {
				g.RecordGap(test.events[i]-test.events[i-1], test.events[i])
			}
			if got := g.HasStalled(test.asked, test.answered); got != test.want {
				t.Errorf("stalled: %t", got)
			}
		})
	}
}

func TestGateStopsWaiting(t *testing.T) {
	g, releases := newFullGate(t, 1)
	release := releases[0]
	if _, ok := g.Acquire(t.Context(), asks(1, 10*time.Millisecond)); ok {
		t.Error("admitted beyond the limit")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, ok := g.Acquire(ctx, asks(1, time.Minute)); ok || g.Waiting() != 0 {
		t.Error("a request whose caller left is still queued")
	}
	release()
	release()
	if g.Pace().Open() != 0 {
		t.Errorf("%d open", g.Pace().Open())
	}
}
