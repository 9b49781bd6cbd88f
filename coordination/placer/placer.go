package placer

import (
	"math/rand/v2"
	"slices"

	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	// failureWeight is how many open requests one recent failure, squared, counts as.
	failureWeight = 6
	// farWeight is what another data centre counts as, less than one request: traffic between data centres is paid for.
	farWeight = 0.6
	// unreadTokens is how many unread prompt tokens count as one open request: about a mean prompt.
	unreadTokens = 800
)

// View is the work and the failures of all runners at one moment.
type View struct {
	entries  int
	open     map[uint32]peer.Open
	failures map[string]float64
}

// add adds open work on a runner.
func (v View) add(key uint32, o peer.Open) {
	sum := v.open[key]
	sum.Requests += o.Requests
	sum.Unread += o.Unread
	v.open[key] = sum
}

// Request is what is to be placed.
type Request struct {
	// Centre is the entry's data centre.
	Centre string
	// Avoid are runners that must not get it.
	Avoid []string
}

// Load returns how busy and how doubtful a runner is, in open requests.
func (v View) Load(r runner.Runner) float64 {
	o, f := v.open[runner.Key(r.ID())], v.failures[r.ID()]
	return float64(o.Requests) + float64(o.Unread)/unreadTokens + failureWeight*f*f
}

// Open returns how many requests all entries have on a runner.
func (v View) Open(id string) int { return v.open[runner.Key(id)].Requests }

// crowd is how many entries there may be for all runners to be compared: more of them would all choose the same runner
// before they hear of each other's choice.
const crowd = 12

// draws is how many runners are compared where there are more entries.
const draws = 3

// Place returns the runner that has the least to do relative to its slots, and false if none takes new work.
func (v View) Place(runners []runner.Runner, request Request) (runner.Runner, bool) {
	var best runner.Runner
	lowest, compared := 0.0, 0
	start := 0
	if len(runners) > 0 {
		start = rand.N(len(runners))
	}
	for i := range runners {
		r := runners[(start+i)%len(runners)]
		if v.entries > crowd {
			r = runners[rand.N(len(runners))]
		}
		if !r.IsReady() || slices.Contains(request.Avoid, r.ID()) {
			continue
		}
		load := v.Load(r)
		if r.Centre() != request.Centre {
			load += farWeight
		}
		load /= float64(r.Slots())
		if compared == 0 || load < lowest {
			best, lowest = r, load
		}
		if compared++; v.entries > crowd && compared == draws {
			break
		}
	}
	if compared == 0 && v.entries > crowd {
		v.entries = 0
		return v.Place(runners, request)
	}
	return best, compared > 0
}
