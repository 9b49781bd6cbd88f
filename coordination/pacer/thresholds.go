package pacer

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/decayer"
)

const (
	// maxSeenFull is the share of runners seen full up to which a request finds room at once: of four probed runners, all are full
	// for one request in 67.
	maxSeenFull = 0.35
	// cutRate is by how much a threshold falls in a second if all runners are seen full: it follows a burst within half a second.
	cutRate = 0.5
	// minThreshold is the part of the room that every priority may use: a quarter, so that no kind of request is shut out.
	minThreshold = 0.25
	// maxCutPerRequest bounds the part of the room that is left unused, as a multiple of the share of requests that are more urgent:
	// a few urgent requests must not keep the others from most of the room.
	maxCutPerRequest = 2
	// minServed is how often a priority is served at least, as a share of how often all are. Below it, its threshold does not apply.
	// The promise is a quarter; the rest is for the entries that happen to serve it less often.
	minServed = 0.4
	// servedHalfLife is the half-life of the counts of served requests: about the length of a burst.
	servedHalfLife = 4 * time.Second
	// minAsked is how many requests of a priority have to be known for minServed to apply.
	minAsked = 4
	// forgetTime is how long after its last request a priority has no threshold, and takes no room from others.
	forgetTime = 5 * time.Second
	// maxCutStep bounds the time that one observation counts for, after a while without any.
	maxCutStep = 200 * time.Millisecond
)

// Thresholds are the parts of a service's room that requests of each priority may use, as an immutable value. The most urgent
// priority may use all of it. The others leave a part unused while runners are mostly full for the next more urgent priority, so
// that its requests find room at once. With a single priority, nothing is left unused.
type Thresholds struct {
	// classes are the known priorities, the most urgent first.
	classes []class
}

// class is what is known of one priority.
type class struct {
	priority int
	// cut is the part of the room that the priority must leave unused.
	cut float64
	// full is the mean share of probed runners that were full for it.
	full float64
	// asked and served are how many requests of the priority came and found room, decayed since countedAt.
	asked, served float64
	countedAt     time.Duration
	// askedAt is when the last one came, and seenAt when a runner was last probed.
	askedAt, seenAt time.Duration
}

// find returns the position of a priority in the list, and whether it is known.
func (t Thresholds) find(priority int) (int, bool) {
	return slices.BinarySearchFunc(t.classes, priority, func(c class, p int) int { return cmp.Compare(c.priority, p) })
}

// WithAsked returns the thresholds after a request of a priority came. Priorities without requests for a while are forgotten.
func (t Thresholds) WithAsked(priority int, now time.Duration) Thresholds {
	t.classes = slices.DeleteFunc(slices.Clone(t.classes), func(c class) bool { return now-c.askedAt > forgetTime })
	at, known := t.find(priority)
	if !known {
		t.classes = slices.Insert(t.classes, at, class{priority: priority, countedAt: now, seenAt: now})
	}
	c := t.classes[at].decayed(now)
	c.asked++
	c.askedAt = now
	t.classes[at] = c
	return t
}

// WithServed returns the thresholds after a request of a priority found room.
func (t Thresholds) WithServed(priority int, now time.Duration) Thresholds {
	at, known := t.find(priority)
	if !known {
		return t
	}
	t.classes = slices.Clone(t.classes)
	c := t.classes[at].decayed(now)
	c.served++
	t.classes[at] = c
	return t
}

func (c class) decayed(now time.Duration) class {
	keep := decayer.Keep(now-c.countedAt, servedHalfLife)
	c.asked, c.served, c.countedAt = c.asked*keep, c.served*keep, now
	return c
}

// WithSeen returns the thresholds after a probe of a runner, of which isFull tells whether it is full for a request that may use a
// part of the room. Each threshold follows how full runners are for the next more urgent priority.
func (t Thresholds) WithSeen(isFull func(part float64) bool, now time.Duration) Thresholds {
	t.classes = slices.Clone(t.classes)
	asked, _ := t.totals(now)
	moreUrgent := 0.0
	for i := range t.classes {
		c := t.classes[i]
		seen := 0.0
		if isFull(1 - c.cut) {
			seen = 1
		}
		c.full += loadWeight * (seen - c.full)
		if i == 0 {
			c.cut = 0
		} else {
			elapsed := min(max(0, now-c.seenAt), maxCutStep).Seconds()
			most := min(1-minThreshold, maxCutPerRequest*moreUrgent/max(1, asked))
			c.cut = min(max(c.cut+cutRate*elapsed*(t.classes[i-1].full-maxSeenFull)/maxSeenFull, t.classes[i-1].cut), most)
		}
		moreUrgent += c.decayed(now).asked
		c.seenAt = now
		t.classes[i] = c
	}
	return t
}

// Part returns the part of the room that a request of a priority may use, from minThreshold to 1.
func (t Thresholds) Part(priority int, now time.Duration) float64 {
	at, known := t.find(priority)
	if !known || t.isStarved(t.classes[at], now) {
		return 1
	}
	return 1 - t.classes[at].cut
}

// Least returns the part of the room that the least urgent priority may use.
func (t Thresholds) Least() float64 {
	if len(t.classes) == 0 {
		return 1
	}
	return 1 - t.classes[len(t.classes)-1].cut
}

// isStarved reports whether a priority is served less than minServed as often as all are.
func (t Thresholds) isStarved(c class, now time.Duration) bool {
	asked, served := t.totals(now)
	c = c.decayed(now)
	return c.asked >= minAsked && c.served*asked < minServed*served*c.asked
}

// totals returns how many requests of all priorities came lately, and how many of them found room.
func (t Thresholds) totals(now time.Duration) (asked, served float64) {
	for _, c := range t.classes {
		c = c.decayed(now)
		asked, served = asked+c.asked, served+c.served
	}
	return asked, served
}
