package placer

import (
	"math/rand/v2"
	"slices"

	"github.com/kingcupstile/kingcupstile/coordination/localizer"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	// failureWeight is the weight of the squared failure count, in open requests.
	failureWeight = 6
	// otherCentreWeight is the weight of a runner in another data centre, in open requests, as traffic between data
	// centres costs money; below 1, so that one request more outweighs it.
	otherCentreWeight = 0.6
	// tokensPerRequest is how many unread prompt tokens count as one open request: about the mean prompt.
	tokensPerRequest = 800
)

// View is the open work and the failure counts of all runners at one moment.
type View struct {
	entries  int
	open     map[uint32]peer.InFlight
	failures map[string]float64
}

// add adds open work to that of a runner; it changes the view's map in place.
func (v View) add(key uint32, o peer.InFlight) {
	sum := v.open[key]
	sum.Requests += o.Requests
	sum.UnreadTokens += o.UnreadTokens
	v.open[key] = sum
}

// Request describes a request for which Place chooses a runner.
type Request struct {
	// Centre is the entry's data centre.
	Centre string
	// Avoid are the IDs of runners that must not get the request.
	Avoid []string
	// Plan says which runners in other data centres are probed and may be chosen; the zero value leaves that to fixed weights.
	Plan localizer.Plan
}

// Load returns a runner's load in equivalent open requests: those of all entries, their unread prompt tokens and the
// runner's recent failures.
func (v View) Load(r runner.Runner) float64 {
	o, f := v.open[runner.Key(r.ID())], v.failures[r.ID()]
	return float64(o.Requests) + float64(o.UnreadTokens)/tokensPerRequest + failureWeight*f*f
}

// Open returns how many requests all entries have open on a runner.
func (v View) Open(id string) int { return v.open[runner.Key(id)].Requests }

// maxEntriesToCompareAll is the number of entries up to which Place compares all runners. More entries would herd: all
// of them would choose the same runner before heartbeats report each other's choices.
const maxEntriesToCompareAll = 12

// sampleSize is how many runners, drawn at random, Place compares if there are more entries.
const sampleSize = 3

// Place returns the runner with the lowest load per slot among those that take new work and are not to be avoided, and
// false if there is none. It compares all runners, or a random sample if there are many entries. If a sample
// has no such runner, it compares all. Ties go to the first runner from a random start.
func (v View) Place(runners []runner.Runner, request Request) (runner.Runner, bool) {
	var best runner.Runner
	lowest, compared := 0.0, 0
	start := 0
	if len(runners) > 0 {
		start = rand.N(len(runners))
	}
	for i := range runners {
		r := runners[(start+i)%len(runners)]
		if v.entries > maxEntriesToCompareAll {
			r = runners[rand.N(len(runners))]
		}
		if !r.IsReady() || slices.Contains(request.Avoid, r.ID()) {
			continue
		}
		load := v.Load(r)
		if r.Centre() != request.Centre {
			load += otherCentreWeight
		}
		load /= float64(r.Slots())
		if compared == 0 || load < lowest {
			best, lowest = r, load
		}
		if compared++; v.entries > maxEntriesToCompareAll && compared == sampleSize {
			break
		}
	}
	if compared == 0 && v.entries > maxEntriesToCompareAll {
		v.entries = 0
		return v.Place(runners, request)
	}
	return best, compared > 0
}
