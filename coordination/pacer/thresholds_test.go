package pacer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/pacer"
)

// waiting is a request that looks for room at some entry.
type waiting struct{ entry, class, passes int }

// mixed simulates many entries before a group of runners, with requests of several priorities, which look for room in each pass for a
// number of passes at most.
type mixed struct {
	*fleet
	thresholds []pacer.Thresholds
	queue      []waiting
	patience   int
	// asked, atOnce and served count the requests of each class, those that found room in their first pass, and all that found it.
	asked, atOnce, served []int
}

func newMixed(entries, runners, slots, classes, patience int) *mixed {
	perOpen := (maxGap - base) / time.Duration(slots) * 4 / 5
	f := newFleet(entries, runners, slots, perOpen)
	f.ends = make([][]int, 2*eventsPerRequest)
	return &mixed{
		fleet: f, thresholds: make([]pacer.Thresholds, entries), patience: patience,
		asked: make([]int, classes), atOnce: make([]int, classes), served: make([]int, classes),
	}
}

// run simulates passes in which requests of each class come at a rate a second.
func (m *mixed) run(passes int, perSecond []float64) {
	for range passes {
		m.pass(0, nil)
		for class, rate := range perSecond {
			arrivals := rate * m.gap.Seconds()
			for ; arrivals > 0 && m.random.Float64() < arrivals; arrivals-- {
				w := waiting{entry: m.random.IntN(len(m.levels)), class: class}
				m.thresholds[w.entry] = m.thresholds[w.entry].WithAsked(class, m.now)
				m.asked[class]++
				m.queue = append(m.queue, w)
			}
		}
		m.random.Shuffle(len(m.queue), func(i, j int) { m.queue[i], m.queue[j] = m.queue[j], m.queue[i] })
		kept := m.queue[:0]
		for _, w := range m.queue {
			if !m.search(w) && w.passes < m.patience {
				w.passes++
				kept = append(kept, w)
			}
		}
		m.queue = kept
	}
}

// search has a request look for room at four runners.
func (m *mixed) search(w waiting) bool {
	level, thresholds, best := m.levels[w.entry], m.thresholds[w.entry], -1
	offset := func(r int) float64 { return float64(r) / float64(len(m.open)) }
	for range 4 {
		r := m.random.IntN(len(m.open))
		level = level.WithLoad(float64(m.open[r]) / float64(m.slots))
		thresholds = thresholds.WithSeen(func(part float64) bool {
			return m.open[r] >= level.AllowedPart(part, m.slots, offset(r))
		}, m.now)
		if best < 0 || m.open[r] < m.open[best] {
			best = r
		}
	}
	m.levels[w.entry] = level.WithUsable(thresholds.Least())
	found := m.open[best] < level.AllowedPart(thresholds.Part(w.class, m.now), m.slots, offset(best))
	if found {
		m.open[best]++
		// Answers differ in length, so that runners do not empty all at once.
		end := m.random.IntN(len(m.ends))
		m.ends[end] = append(m.ends[end], best)
		m.served[w.class]++
		if w.passes == 0 {
			m.atOnce[w.class]++
		}
		thresholds = thresholds.WithServed(w.class, m.now)
	}
	m.thresholds[w.entry] = thresholds
	return found
}

func (m *mixed) share(counts []int, class int) float64 {
	return float64(counts[class]) / float64(max(1, m.asked[class]))
}

// TestUrgentRequestsFindRoomAtOnce replays the loads under which urgent requests were refused more often than others, as all competed for
// room by chance: the least urgent kind doubles, or the most urgent one, or all ask for more than there is. The most urgent requests
// must find room at once, no kind may be served less often than a less urgent one, and none less than a quarter as often as all.
func TestUrgentRequestsFindRoomAtOnce(t *testing.T) {
	// Most urgent callers wait for a few passes at most; one in five may have to ask again in the next one.
	const minAtOnce = 0.8
	const entries, runners, slots = 34, 72, 10
	capacity := float64(runners*slots) / (eventsPerRequest * (base + (maxGap-base)*4/5).Seconds())
	for name, test := range map[string]struct {
		rates []float64
	}{
		"the least urgent kind floods": {[]float64{0.3, 0.15, 1.2}},
		"all ask for more":             {[]float64{0.5, 0.25, 0.75}},
		"the most urgent kind doubles": {[]float64{0.7, 0.15, 0.5}},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMixed(entries, runners, slots, len(test.rates), 12)
			rates := make([]float64, len(test.rates))
			for i, r := range test.rates {
				rates[i] = r * capacity
			}
			m.run(400, rates)
			all, asked := 0, 0
			for class := range rates {
				all, asked = all+m.served[class], asked+m.asked[class]
				t.Logf("class %d: asked %d, at once %.3f, served %.3f", class, m.asked[class], m.share(m.atOnce, class), m.share(m.served, class))
			}
			t.Logf("gap at the end %v", m.gap)
			if at := m.share(m.atOnce, 0); at < minAtOnce {
				t.Errorf("%.3f of the most urgent requests found room at once, want %.2f", at, minAtOnce)
			}
			for class := range rates {
				if share := m.share(m.served, class); share < 0.25*float64(all)/float64(asked) {
					t.Errorf("class %d was served for %.3f of its requests, all for %.3f", class, share, float64(all)/float64(asked))
				}
				if class > 0 && m.share(m.served, class) > m.share(m.served, class-1)+0.05 {
					t.Errorf("class %d was served more often than the more urgent one", class)
				}
			}
		})
	}
}

// TestOnePriorityUsesAllRoom guards against room that is left unused where no request is more urgent than another, and after the more
// urgent ones have ceased to come.
func TestOnePriorityUsesAllRoom(t *testing.T) {
	full := func(float64) bool { return true }
	var one pacer.Thresholds
	for i := range 100 {
		now := time.Duration(i) * 50 * time.Millisecond
		one = one.WithAsked(3, now).WithSeen(full, now)
		if part := one.Part(3, now); part != 1 {
			t.Fatalf("part %.2f of the room after %v", part, now)
		}
	}
	two, now := one, 5*time.Second
	for range 100 {
		now += 50 * time.Millisecond
		two = two.WithAsked(0, now).WithAsked(3, now).WithServed(0, now).WithServed(3, now).WithSeen(full, now)
	}
	if part := two.Part(3, now); part > 0.5 || part < 0.25 {
		t.Errorf("part %.2f of the room while urgent requests find runners full", part)
	}
	if part := two.Part(0, now); part != 1 {
		t.Errorf("part %.2f for the most urgent requests", part)
	}
	now += 6 * time.Second
	if part := two.WithAsked(3, now).Part(3, now); part != 1 {
		t.Errorf("part %.2f when urgent requests have ceased to come", part)
	}
}

// TestNoPriorityIsShutOut draws loads at random and checks the promise to the least urgent kind: it is served a quarter as often as all.
func TestNoPriorityIsShutOut(t *testing.T) {
	random := rand.New(rand.NewPCG(seed, 2))
	for range 12 {
		m := newMixed(20, 40, 8, 3, 1+random.IntN(20))
		capacity := float64(40*8) / (eventsPerRequest * (base + (maxGap-base)*4/5).Seconds())
		rates := []float64{capacity * 1.5 * random.Float64(), capacity * random.Float64(), capacity * 1.5 * random.Float64()}
		m.run(400, rates)
		all, asked := m.served[0]+m.served[1]+m.served[2], m.asked[0]+m.asked[1]+m.asked[2]
		for class := range rates {
			if m.asked[class] >= 50 && m.share(m.served, class) < 0.25*float64(all)/float64(asked) {
				t.Errorf("rates %.0f, patience %d: class %d served for %.3f, all for %.3f", rates, m.patience, class,
					m.share(m.served, class), float64(all)/float64(asked))
			}
		}
	}
}
