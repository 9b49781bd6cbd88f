package localizer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// scarceRoom is the share of runners with room in the own data centre below which roundProbes runners are probed elsewhere, and one
	// otherwise: at it, two probes find no room for one request in four.
	scarceRoom = 0.5
	// forgetTime is how long after its last request an urgency is forgotten.
	forgetTime = 5 * time.Second
	// bytesPerMB is the unit in which the cost is given.
	bytesPerMB = 1e6
)

// Localizer is what one entry knows of the data centres that run a service, and the share for each other one, as an immutable value. The
// share is that of the requests which may leave for it if they find no room in their own data centre. The zero value decides nothing.
type Localizer struct {
	// cost is the cost of a megabyte between data centres, in milliseconds for which one caller may wait instead.
	cost float64
	home centre
	// away are the other data centres with runners that take new work, by name.
	away []centre
	// answer is the mean size of an answer in bytes, 0 if none is known.
	answer float64
	// urgencies are those of recent requests, the most urgent first.
	urgencies []urgency
}

// urgency is one of the urgencies of recent requests.
type urgency struct {
	value   int
	askedAt time.Duration
}

// New returns a localizer for entries in a data centre, given the cost of a megabyte between data centres in milliseconds for which
// one caller may wait instead.
func New(home string, cost float64) Localizer {
	return Localizer{cost: cost, home: centre{name: home}}
}

// IsKnown reports whether the localizer was made by New.
func (l Localizer) IsKnown() bool { return l.home.name != "" || l.cost > 0 }

// Link is another data centre with the time of a round trip to it.
type Link struct {
	Centre    string
	RoundTrip time.Duration
}

// WithLinks returns the localizer for the given other data centres. What is known of others is forgotten, so that one that comes back
// begins with a share of 0.
func (l Localizer) WithLinks(links []Link) Localizer {
	away := make([]centre, 0, len(links))
	for _, link := range links {
		c := centre{name: link.Centre}
		if at, known := l.find(link.Centre); known {
			c = l.away[at]
		}
		c.roundTrip = link.RoundTrip
		away = append(away, c)
	}
	slices.SortFunc(away, func(a, b centre) int { return cmp.Compare(a.name, b.name) })
	l.away = away
	return l
}

// find returns the position of another data centre in the list, and whether it is known.
func (l Localizer) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l.away, name, func(c centre, name string) int { return cmp.Compare(c.name, name) })
}

// WithAnswer returns the localizer after an answer of some bytes.
func (l Localizer) WithAnswer(bytes int64) Localizer {
	if l.answer == 0 {
		l.answer = float64(bytes)
	}
	l.answer += answerWeight * (float64(bytes) - l.answer)
	return l
}

// answerWeight is the weight of one more answer in the mean size.
const answerWeight = 0.05

// WithProbe returns the localizer after a runner in a data centre was asked for its load; hasRoom tells whether it has room for a request
// of an urgency that comes from this entry. No answer counts as no room.
func (l Localizer) WithProbe(name string, hasRoom func(urgency int) bool, now time.Duration) Localizer {
	if name == l.home.name {
		l.home = l.home.withProbe(l.urgencies, hasRoom, now)
		return l
	}
	if at, known := l.find(name); known {
		l.away = slices.Clone(l.away)
		l.away[at] = l.away[at].withProbe(l.urgencies, hasRoom, now)
	}
	return l
}

// Request describes a request that looks for room.
type Request struct {
	// Urgency is lower for more urgent requests.
	Urgency int
	// Bytes is the size of the request.
	Bytes int
	// Since is when it began to look for room, LatestStart when a runner must begin at the latest, and Time all the time that the
	// caller has.
	Since, LatestStart, Time time.Duration
	// Interval is the time between two rounds of probes, and Wait how long requests of this urgency have waited for room.
	Interval, Wait time.Duration
	// Draw is a random number from 0 to 1 that stays the same for the request, and Pick one that is drawn for each round.
	Draw, Pick float64
}

// WithRequest returns the localizer with the shares moved by what a request that looks for room is expected to gain elsewhere.
func (l Localizer) WithRequest(r Request, now time.Duration) Localizer {
	l.urgencies = slices.DeleteFunc(slices.Clone(l.urgencies), func(u urgency) bool { return now-u.askedAt > forgetTime })
	at, known := l.findUrgency(r.Urgency)
	if !known {
		l.urgencies = slices.Insert(l.urgencies, at, urgency{value: r.Urgency})
	}
	l.urgencies[at].askedAt = now
	l.home = l.home.withScarcity(r.Urgency, now)
	l.away = slices.Clone(l.away)
	for i, c := range l.away {
		c = c.withScarcity(r.Urgency, now)
		l.away[i] = c.withShare(l.home, l.gain(c, r, now)-r.loss(c.wait(r, now), now), l.price(r), now)
	}
	return l
}

// gain returns what is saved, in milliseconds, if a request that finds no room in its own data centre in this round is sent to a runner
// with room in another one: its own wait, and that of others. A request that stays makes the queue longer by one for as long as there is
// no room, which is expected to last about as long as it has lasted already.
func (l Localizer) gain(c centre, r Request, now time.Duration) float64 {
	own := r.loss(r.Interval+l.home.wait(r, now), now) - milliseconds(c.roundTrip)
	return own + milliseconds(l.home.scarce(now))*(1-c.missed(r.Urgency, now))
}

func (l Localizer) findUrgency(value int) (int, bool) {
	return slices.BinarySearchFunc(l.urgencies, value, func(u urgency, value int) int { return cmp.Compare(u.value, value) })
}

// rank returns how many more urgent kinds of requests there are, maxRank at most.
func (l Localizer) rank(value int) int {
	at, _ := l.findUrgency(value)
	return min(at, maxRank)
}

const (
	// maxRank bounds by how much less urgent requests are treated otherwise than the most urgent ones.
	maxRank = 3
	// holdShare is the part of the time that a request has, for each more urgent kind, in which it does not leave: it must still start
	// well before its first event is due, which is about a quarter of the time after which callers leave.
	holdShare = 0.05
	// minPrice is the least gain in milliseconds for which a request leaves: less is not told apart from chance.
	minPrice = 5
)

// price returns what sending a request and its answer to another data centre costs, in milliseconds. It is a multiple for less urgent
// requests.
func (l Localizer) price(r Request) float64 {
	return max(minPrice, (float64(r.Bytes)+l.answer)/bytesPerMB*l.cost) * float64(1+l.rank(r.Urgency))
}

// loss returns what a caller loses that waits for a time on average, in milliseconds: the wait, or all the time that it has if the
// request does not start in time. Waits are taken to be distributed exponentially, as each round of probes finds room by chance.
func (r Request) loss(wait, now time.Duration) float64 {
	left := r.LatestStart - now
	if left <= 0 {
		return milliseconds(r.Time)
	}
	if wait <= 0 {
		return 0
	}
	late := math.Exp(-float64(left) / float64(wait))
	return (1-late)*milliseconds(wait) + late*milliseconds(r.Time)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// remaining returns the part of the time for looking that is left.
func (r Request) remaining(now time.Duration) float64 {
	if r.LatestStart <= r.Since {
		return 0
	}
	return max(0, float64(r.LatestStart-now)/float64(r.LatestStart-r.Since))
}

// Plan returns where a request looks for room in its next round of probes. It may leave for another data centre if the time that it is
// expected to save there is worth the cost, and if it is one of the share that may. The share counts for more as the time runs out.
func (l Localizer) Plan(r Request, now time.Duration) Plan {
	p := Plan{isOn: true, home: l.home.name}
	left := r.remaining(now)
	isHeld := 1-left < holdShare*float64(l.rank(r.Urgency))
	price := l.price(r)
	rooms := 0.0
	for _, c := range l.away {
		if !isHeld && l.gain(c, r, now) > fallFactor*price && r.Draw*left < c.share {
			p.leaves = append(p.leaves, c.name)
			rooms += c.room(r.Urgency, now)
		}
	}
	if len(p.leaves) == 0 || l.home.room(r.Urgency, now) > scarceRoom {
		p.targets = l.leastKnown()
		return p
	}
	// The first of two is drawn by room, so that entries do not all go to the same data centre.
	first, at := 0, r.Pick*rooms
	for i, name := range p.leaves {
		c, _ := l.find(name)
		if at -= l.away[c].room(r.Urgency, now); at < 0 {
			first = i
			break
		}
	}
	for i := range roundProbes {
		p.targets = append(p.targets, p.leaves[(first+i)%len(p.leaves)])
	}
	return p
}

// leastKnown returns the other data centre that was probed longest ago.
func (l Localizer) leastKnown() []string {
	if len(l.away) == 0 {
		return nil
	}
	return []string{slices.MinFunc(l.away, func(a, b centre) int { return cmp.Compare(a.probedAt, b.probedAt) }).name}
}

// Share is the share for another data centre.
type Share struct {
	Centre string
	// Share is the share in force, and Reported what was last reported.
	Share, Reported float64
}

// Shares returns the shares in force.
func (l Localizer) Shares() []Share {
	shares := make([]Share, 0, len(l.away))
	for _, c := range l.away {
		shares = append(shares, Share{Centre: c.name, Share: c.share, Reported: c.reported})
	}
	return shares
}

// minChange is the change of a share that is reported: most of the range, so that a burst is reported twice.
const minChange = 0.5

// WithReported returns the shares that changed much since they were last reported, and the localizer after they are.
func (l Localizer) WithReported() (Localizer, []Share) {
	var changed []Share
	for i, s := range l.Shares() {
		if math.Abs(s.Share-s.Reported) < minChange {
			continue
		}
		if len(changed) == 0 {
			l.away = slices.Clone(l.away)
		}
		l.away[i].reported = s.Share
		changed = append(changed, s)
	}
	return l, changed
}
