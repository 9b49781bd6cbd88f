package localizer

import (
	"math"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/decayer"
)

const (
	// roomHalfLife is the half-life of what probes told: a burst is known within half a second.
	roomHalfLife = 500 * time.Millisecond
	// roundProbes is how many runners of a data centre are probed in one round where the request may go to several.
	roundProbes = 2
	// scarceHalfLife is the half-life of the time without room: a good part of a burst, which lasts 3 to 7 s.
	scarceHalfLife = 2 * time.Second
	// maxScarce is the time without room in another data centre from which on the share for it falls: a request that takes the room of
	// another one saves nothing, and where all data centres are full, each one that leaves makes another one leave.
	maxScarce = 1500 * time.Millisecond
	// minScarce is such a time from which on the share falls if it is also more than scarceRatio of that in the own data centre: what is
	// about as short of room elsewhere is no help.
	minScarce, scarceRatio = 700 * time.Millisecond, 0.75
	// priorRoom is the share of runners with room where nothing is known, and counts as much as one probe.
	priorRoom = 0.5
)

// A share rises while the gain is more than riseFactor times the price, and falls while it is less than fallFactor times as much; between
// the two it stays.
const (
	riseFactor, fallFactor = 1.25, 0.3
	// riseRate is by how much a share rises in a second, and falls if the other data centre has no room. It is as slow as what is learned
	// of that centre, so that not all requests have left before the first effect is seen.
	riseRate = 2.0
	// fallRate is by how much it falls in a second otherwise: over two seconds, so that it lasts through the lulls of a burst.
	fallRate = 0.5
	// maxStep bounds the time that one request counts for, after a while without any.
	maxStep = 200 * time.Millisecond
)

// centre is what is known of a data centre.
type centre struct {
	name      string
	roundTrip time.Duration
	// rooms tells how often probed runners had room, by urgency.
	rooms map[int]tally
	// scarcity is for how long requests found no room here lately, decayed since scarceAt.
	scarcity, scarceAt time.Duration
	// probedAt is when a runner was last probed, and movedAt when the share was last moved.
	probedAt, movedAt time.Duration
	// share is the share of requests that may leave for the centre, and reported what was last reported.
	share, reported float64
}

// tally counts probes, decayed since a time, and those of runners that had room.
type tally struct {
	probes, found float64
	at            time.Duration
}

func (t tally) decayed(now time.Duration) tally {
	keep := decayer.Keep(now-t.at, roomHalfLife)
	return tally{probes: t.probes * keep, found: t.found * keep, at: now}
}

// withProbe returns the centre after a probe, with the tallies of urgencies that are not recent left out.
func (c centre) withProbe(urgencies []urgency, hasRoom func(urgency int) bool, now time.Duration) centre {
	old := c.rooms
	c.rooms, c.probedAt = make(map[int]tally, len(urgencies)), now
	for _, u := range urgencies {
		t := old[u.value].decayed(now)
		t.probes++
		if hasRoom(u.value) {
			t.found++
		}
		c.rooms[u.value] = t
	}
	return c
}

// room returns the share of runners that have room for a request of an urgency.
func (c centre) room(urgency int, now time.Duration) float64 {
	t := c.rooms[urgency].decayed(now)
	return (t.found + priorRoom) / (t.probes + 1)
}

// missed returns how probable it is that a request finds no room in one round of probes.
func (c centre) missed(urgency int, now time.Duration) float64 {
	return math.Pow(1-c.room(urgency, now), roundProbes)
}

// wait returns how long a request is expected to wait for room. That is computed from the share of runners with room, and not measured:
// once requests leave, nobody waits, and a measured wait would call them back. What requests have waited counts by the share of runners
// without room, so that it does not favour one of several full data centres.
func (c centre) wait(r Request, now time.Duration) time.Duration {
	missed := c.missed(r.Urgency, now)
	rounds := missed / (1 - missed)
	return max(time.Duration(rounds*float64(r.Interval)), time.Duration((1-c.room(r.Urgency, now))*float64(r.Wait)))
}

// withScarcity returns the centre after a request of an urgency looked for room.
func (c centre) withScarcity(urgency int, now time.Duration) centre {
	elapsed := min(max(0, now-c.scarceAt), maxStep)
	c.scarcity, c.scarceAt = c.scarce(now)+time.Duration(float64(elapsed)*c.missed(urgency, now)), now
	return c
}

// scarce returns for how long requests found no room here lately.
func (c centre) scarce(now time.Duration) time.Duration {
	return time.Duration(float64(c.scarcity) * decayer.Keep(now-c.scarceAt, scarceHalfLife))
}

// withShare returns the centre after a request from another one, home, that is expected to gain some milliseconds here for a price.
func (c centre) withShare(home centre, gain, price float64, now time.Duration) centre {
	elapsed := min(max(0, now-c.movedAt), maxStep).Seconds()
	c.movedAt = now
	switch {
	case c.scarce(now) > maxScarce, c.scarce(now) > max(minScarce, time.Duration(scarceRatio*float64(home.scarce(now)))):
		c.share -= riseRate * elapsed
	case gain > riseFactor*price:
		c.share += riseRate * elapsed
	case gain < fallFactor*price:
		c.share -= fallRate * elapsed
	}
	c.share = min(max(c.share, 0), 1)
	return c
}
