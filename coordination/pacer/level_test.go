package pacer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/pacer"
)

const seed = 20261204

// fleet simulates many entries before a group of runners whose gap between events grows with the open requests. Callers
// come to each entry with its own weight, each request takes a number of events, and entries choose the least loaded of
// a few runners.
type fleet struct {
	random  *rand.Rand
	levels  []pacer.Level
	open    []int
	slots   int
	perOpen time.Duration
	now     time.Duration
	// ends holds the runners whose requests end in each of the next passes.
	ends             [][]int
	refused, arrived int
	gap              time.Duration
}

const eventsPerRequest = 15

func newFleet(entries, runners, slots int, perOpen time.Duration) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), open: make([]int, runners), slots: slots, perOpen: perOpen,
		ends: make([][]int, eventsPerRequest),
	}
	for range entries {
		f.levels = append(f.levels, pacer.NewLevel().WithTarget(target, base).WithSlots(float64(slots)))
	}
	return f
}

// pass runs one pass of the group, in which requests arrive at the given rate at entries that pick chooses.
func (f *fleet) pass(perSecond float64, pick func() int) {
	total := 0
	for _, n := range f.open {
		total += n
	}
	f.gap = base + time.Duration(float64(total)/float64(len(f.open))*float64(f.perOpen))
	f.now += f.gap
	ended := f.ends[0]
	f.ends = append(f.ends[1:], nil)
	for _, r := range ended {
		f.open[r]--
	}
	arrivals := perSecond * f.gap.Seconds()
	for arrivals > 0 && f.random.Float64() < arrivals {
		arrivals--
		f.arrive(pick())
	}
	for i := range f.levels {
		// An entry sees the gaps of the few streams that it forwards.
		for range 5 {
			f.levels[i] = f.levels[i].WithGap(f.gap, f.now)
		}
	}
}

func (f *fleet) arrive(entry int) {
	f.arrived++
	best := -1
	for range 4 {
		r := f.random.IntN(len(f.open))
		f.levels[entry] = f.levels[entry].WithLoad(float64(f.open[r]) / float64(f.slots))
		if best < 0 || f.open[r] < f.open[best] {
			best = r
		}
	}
	if f.open[best] >= f.levels[entry].Allowed(f.slots, float64(best)/float64(len(f.open))) {
		f.refused++
		return
	}
	f.open[best]++
	f.ends[len(f.ends)-1] = append(f.ends[len(f.ends)-1], best)
}

// TestLevelSharesRoom replays loads at many ratios of slots to entries: at half of what the group can serve nobody is
// refused, whichever entries the callers use, and at twice of it the gaps stay near their target while most of what the
// group can do is done.
func TestLevelSharesRoom(t *testing.T) {
	for name, test := range map[string]struct{ entries, runners, slots int }{
		"few slots for each entry":  {1000, 50, 6},
		"some slots for each entry": {148, 129, 6},
		"many slots for each entry": {20, 100, 6},
	} {
		t.Run(name, func(t *testing.T) {
			perOpen := (maxGap - base) / time.Duration(test.slots) * 4 / 5
			capacity := float64(test.runners*test.slots) / (eventsPerRequest * (base + time.Duration(test.slots)*perOpen).Seconds())
			calm := newFleet(test.entries, test.runners, test.slots, perOpen)
			for range 300 {
				// A fifth of the entries gets all callers.
				calm.pass(capacity/2, func() int { return calm.random.IntN(max(1, test.entries/5)) })
			}
			if calm.refused > calm.arrived/200 {
				t.Errorf("%d of %d refused at half of the capacity", calm.refused, calm.arrived)
			}
			surge := newFleet(test.entries, test.runners, test.slots, perOpen)
			late := 0
			for i := range 300 {
				surge.pass(2*capacity, func() int { return surge.random.IntN(test.entries) })
				if i > 30 && surge.gap > maxGap {
					late++
				}
			}
			served := float64(surge.arrived-surge.refused) / surge.now.Seconds()
			if late > 0 || served < 0.6*capacity {
				t.Errorf("%d late passes; %.0f served a second of a capacity of %.0f", late, served, capacity)
			}
		})
	}
}

// TestLevelFollowsAReducedCapacity slows the group down under load, as a bad expert map does, and back: the gaps return
// below the longest one in time, also where half of the slots are too many for that, and the room is used again afterwards.
func TestLevelFollowsAReducedCapacity(t *testing.T) {
	for name, perOpen := range map[string]time.Duration{"half as fast": 24 * time.Millisecond, "a fifth": 60 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(148, 129, 6, 12*time.Millisecond)
			anywhere := func() int { return f.random.IntN(148) }
			for range 100 {
				f.pass(600, anywhere)
			}
			before := f.gap
			f.perOpen = perOpen
			for range 100 {
				f.pass(600, anywhere)
			}
			if f.gap > maxGap {
				t.Errorf("gap %v while the group is slow", f.gap)
			}
			f.perOpen = 12 * time.Millisecond
			for range 200 {
				f.pass(600, anywhere)
			}
			if f.gap < before*9/10 {
				t.Errorf("gap %v after the group is fast again, %v before", f.gap, before)
			}
		})
	}
}

func TestAllowedRoundsDifferently(t *testing.T) {
	l := pacer.NewLevel().WithTarget(target, base).WithSlots(6).WithLoad(1)
	if got := l.Allowed(6, 0.9); got != 6 {
		t.Errorf("%d of 6 slots allowed at first", got)
	}
	for l.Limit() > 0.75 {
		for range 40 {
			l = l.WithLoad(l.Limit())
		}
		now := time.Duration(1/l.Limit()*1e6) * time.Second
		for range 4 {
			l = l.WithGap(2*maxGap, now)
		}
	}
	sum := 0
	const runners = 100
	for r := range runners {
		sum += l.Allowed(6, float64(r)/runners)
	}
	if got, want := float64(sum)/runners, 6*l.Limit(); got < want-0.1 || got > want+0.1 {
		t.Errorf("%.2f allowed on average at a limit of %.2f", got, want)
	}
}

// TestPaceGrowsFromAFraction starts at a limit that whole requests never fill: all requests that fit are open and more
// come, so that the limit has to grow.
func TestPaceGrowsFromAFraction(t *testing.T) {
	for _, floor := range []float64{0.3, 1.4, 2.61, 3.9} {
		p := pacer.New(pacer.Bounds{Floor: floor, Ceiling: 30, TargetGap: target, BaseGap: base})
		for i := range 200 {
			for p.HasRoom() {
				p = p.WithOpened()
			}
			for range 4 {
				p = p.WithGap(maxGap/4, time.Duration(i+1)*time.Second)
			}
		}
		if p.Limit() < 29 {
			t.Errorf("limit %.2f from %.2f although the gaps are short", p.Limit(), floor)
		}
	}
}

// TestVacancy has requests find room at once, after a wait, or not at all: those who come later expect to wait as long, and try
// again some time after all others waited in vain.
func TestVacancy(t *testing.T) {
	const patience = 1500 * time.Millisecond
	waits := func(found bool, waited time.Duration) pacer.Vacancy {
		var v pacer.Vacancy
		for i := range 4 {
			v = v.WithSearch(waited, found, 10*time.Second+time.Duration(i)*10*time.Millisecond)
		}
		return v
	}
	now := 10*time.Second + 100*time.Millisecond
	for name, test := range map[string]struct {
		vacancy     pacer.Vacancy
		at          time.Duration
		least, most time.Duration
	}{
		"nothing is known":     {pacer.Vacancy{}, now, 0, 0},
		"room at once":         {waits(true, 0), now, 0, 0},
		"after a while":        {waits(true, 300*time.Millisecond), now, 200 * time.Millisecond, 300 * time.Millisecond},
		"none found room":      {waits(false, patience), now, 2 * patience, 4 * patience},
		"none did some before": {waits(false, patience), now + 4*time.Second, 0, patience},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.vacancy.Wait(test.at); got < test.least || got > test.most {
				t.Errorf("%v, want %v to %v", got, test.least, test.most)
			}
		})
	}
}
