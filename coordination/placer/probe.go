package placer

import (
	"math/rand/v2"
	"slices"

	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	// nearProbes and anyProbes are how many runners of the own data centre, and of all, are probed for one request.
	nearProbes, anyProbes = 3, 1
	// farWeight is the weight of a runner in another data centre, in open requests. It is more than for runners whose load
	// is only estimated, but a runner with room is chosen before one in the own data centre that is full.
	farWeight = 1.5
)

// IsProbed reports whether the load of a service's runners is asked for before each request. Few entries know it from
// each other's heartbeats; among many, these are too old. Only runners with experts have a process beside them that
// answers.
func IsProbed(entries int, e routing.Engine) bool {
	return entries > maxEntriesToCompareAll && e.HasExperts()
}

// WithAvoided returns the request with more runners that must not get it.
func (r Request) WithAvoided(ids []string) Request {
	r.Avoid = slices.Concat(r.Avoid, ids)
	return r
}

// Sample returns some runners to probe for a request, drawn at random: most from the entry's own data centre. It returns
// fewer, or none, if hardly any takes new work.
func Sample(runners []runner.Runner, request Request) []runner.Runner {
	if request.Plan.IsOn() {
		return samplePlanned(runners, request)
	}
	var near []runner.Runner
	for _, r := range runners {
		if r.Centre() == request.Centre {
			near = append(near, r)
		}
	}
	var sample []runner.Runner
	draw := func(list []runner.Runner, n int) {
		for _, i := range rand.Perm(len(list)) {
			if n == 0 {
				return
			}
			r := list[i]
			isDrawn := slices.ContainsFunc(sample, func(d runner.Runner) bool { return d.ID() == r.ID() })
			if isDrawn || !r.IsReady() || slices.Contains(request.Avoid, r.ID()) {
				continue
			}
			sample = append(sample, r)
			n--
		}
	}
	draw(near, nearProbes)
	draw(runners, nearProbes+anyProbes-len(sample))
	return sample
}

// Probed is a runner with the open requests that the process beside it has answered.
type Probed struct {
	Runner runner.Runner
	Open   int
}

// Choose returns the runner with the lowest load per slot, and whether it has room for one more request: fewer open than
// allowed says. Runners with room come before others. It returns false for found if there is no runner.
func (v View) Choose(list []Probed, request Request, allowed func(runner.Runner) int) (best runner.Runner, hasRoom, found bool) {
	if request.Plan.IsOn() {
		return v.choosePlanned(list, request, allowed)
	}
	lowest := 0.0
	for _, p := range list {
		f := v.failures[p.Runner.ID()]
		load := float64(p.Open) + failureWeight*f*f
		room := load < float64(allowed(p.Runner))
		if p.Runner.Centre() != request.Centre {
			load += farWeight
		}
		load /= float64(p.Runner.Slots())
		if !found || room && !hasRoom || room == hasRoom && load < lowest {
			best, lowest, hasRoom, found = p.Runner, load, room, true
		}
	}
	return best, hasRoom, found
}
