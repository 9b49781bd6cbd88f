package picker

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/pool"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// preferredCount is the number of endpoints that requests of one affinity prefer.
const preferredCount = 2

// probes is the number of positions on the ring that are tried for each preferred endpoint, as in multi-probe
// consistent hashing; more probes distribute affinities more evenly.
const probes = 4

// keptPenalty is the load, in requests, added to an endpoint that is kept in use in spite of a signal against it.
const keptPenalty = 8

// failurePenalty is the load, in requests, added for one failure since the last success. It is multiplied by the
// square of the number of failures, so that a few failures suffice however loaded the other endpoints are.
const failurePenalty = 2

// maxDraws is the number of random draws that sample makes before it falls back to a linear search.
const maxDraws = 4

// Scorer picks the less loaded of two endpoints drawn at random, or one of the request's preferred endpoints if its
// load is within the slack; see AffinitySlack.
//
// Load is measured in requests: this daemon's own attempts in flight, which are exact, plus those of other daemons as
// last reported. The latter are weighted by this daemon's share of the pool's load, since every other daemon corrects
// its own share as well, and clamped to between half and twice the pool's mean, which bounds the effect of a wrong
// report.
type Scorer struct {
	inFlight    kingcupstile.InFlight
	intN        func(n int) int
	slack       float64
	slackFactor float64
}

// Option sets a field of a Scorer under construction.
type Option func(*Scorer)

// AffinitySlack sets the load up to which a preferred endpoint is picked: factor times the load of the better endpoint
// drawn at random, plus a number of requests.
func AffinitySlack(requests, factor float64) Option {
	return func(s *Scorer) { s.slack, s.slackFactor = requests, factor }
}

// IntN sets the source of random numbers from 0 to n-1.
func IntN(intN func(n int) int) Option { return func(s *Scorer) { s.intN = intN } }

// New returns a scorer that reads the attempts in flight of this daemon from inFlight.
func New(inFlight kingcupstile.InFlight, options ...Option) *Scorer {
	s := &Scorer{inFlight: inFlight, intN: rand.IntN, slack: 1, slackFactor: 1.25}
	for _, option := range options {
		option(s)
	}
	return s
}

// Pick returns an endpoint that gets new work and whose name is not in avoid, and false when none is left.
func (s *Scorer) Pick(p pool.Pool, affinity uint64, avoid []string) (roster.Endpoint, bool) {
	best, ok := sample(p, s.intN, avoid)
	if !ok {
		return roster.Endpoint{}, false
	}
	own, others := p.MeanAttempts()
	w := reportWeight{meanOthers: others, share: own / max(own+others, 1)}
	least := s.load(p.At(best), w)
	if other, _ := sample(p, s.intN, avoid); other != best {
		if load := s.load(p.At(other), w); load < least {
			best, least = other, load
		}
	}
	if affinity != 0 {
		for n := range uint64(preferredCount) {
			i, _ := preferred(p, affinity+n, avoid)
			if (s.load(p.At(i), w)-s.slack)/s.slackFactor <= least {
				return *p.At(i), true
			}
		}
	}
	return *p.At(best), true
}

// reportWeight holds how reports of other daemons' attempts are weighted: their mean over the pool, which bounds them,
// and this daemon's share of the pool's load, from 0 to 1.
type reportWeight struct {
	meanOthers float64
	share      float64
}

// load returns an endpoint's load in requests.
func (s *Scorer) load(e *roster.Endpoint, w reportWeight) float64 {
	open, failures := s.inFlight.Count(e.Name())
	load := float64(open) + w.share*min(max(float64(e.OtherAttempts()), w.meanOthers/2), 2*w.meanOthers)
	load += failurePenalty * float64(failures) * float64(failures)
	if e.State() == roster.StateKept {
		load += keptPenalty
	}
	return load
}

// preferred returns the index of the endpoint that follows one of the affinity's probes on the ring at the shortest
// distance, or of the next one that gets new work and is not in avoid.
func preferred(p pool.Pool, affinity uint64, avoid []string) (int, bool) {
	best, nearest := 0, uint64(math.MaxUint64)
	for probe := range uint64(probes) {
		place := mix(affinity*probes + probe)
		i := p.Successor(place)
		if distance := p.Position(i) - place; distance < nearest {
			best, nearest = i, distance
		}
	}
	return nextEligible(p, best, avoid)
}

// nextEligible returns the index of the first endpoint, at or after an index, that gets new work and is not in avoid.
func nextEligible(p pool.Pool, i int, avoid []string) (int, bool) {
	for range p.Len() {
		if isEligible(p.At(i), avoid) {
			return i, true
		}
		i = (i + 1) % p.Len()
	}
	return 0, false
}

// sample returns the index of an endpoint that gets new work and is not in avoid: a random one, or, after maxDraws
// draws without success, the next one on the ring.
func sample(p pool.Pool, intN func(n int) int, avoid []string) (int, bool) {
	if p.Usable() == 0 {
		return 0, false
	}
	i := 0
	for range maxDraws {
		i = intN(p.Len())
		if isEligible(p.At(i), avoid) {
			return i, true
		}
	}
	return nextEligible(p, i, avoid)
}

func isEligible(e *roster.Endpoint, avoid []string) bool {
	return e.State().IsUsable() && !slices.Contains(avoid, e.Name())
}

// mix is the finalizer of SplitMix64; it spreads a number over all 64 bits.
func mix(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
