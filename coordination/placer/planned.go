package placer

import (
	"math/rand/v2"
	"slices"

	"github.com/kingcupstile/kingcupstile/state/runner"
)

// samplePlanned does as Sample by the request's plan: one runner in each data centre that it names, and the others in the own one. Where
// there are too few, others take their place.
func samplePlanned(runners []runner.Runner, request Request) []runner.Runner {
	byCentre := map[string][]runner.Runner{}
	count := 0
	for _, i := range rand.Perm(len(runners)) {
		if r := runners[i]; r.IsReady() && !slices.Contains(request.Avoid, r.ID()) {
			byCentre[r.Centre()] = append(byCentre[r.Centre()], r)
			count++
		}
	}
	var sample []runner.Runner
	take := func(centre string, n int) {
		n = min(n, len(byCentre[centre]))
		sample = append(sample, byCentre[centre][:n]...)
		byCentre[centre] = byCentre[centre][n:]
	}
	for _, centre := range request.Plan.Targets() {
		take(centre, 1)
	}
	wanted := min(count, nearProbes+anyProbes)
	take(request.Centre, wanted-len(sample))
	for centre := range byCentre {
		take(centre, wanted-len(sample))
	}
	return sample
}

// choosePlanned does as Choose by the request's plan: a runner with room in the own data centre comes first, and then one with room in
// another one to which the request may be sent, or in any if no runner of the own one answered.
func (v View) choosePlanned(list []Probed, request Request, allowed func(runner.Runner) int) (best runner.Runner, hasRoom, found bool) {
	isHome := func(p Probed) bool { return p.Runner.Centre() == request.Centre }
	mayUseAll := !slices.ContainsFunc(list, isHome)
	lowest, bestRank := 0.0, 0
	for _, p := range list {
		f := v.failures[p.Runner.ID()]
		load, rank := float64(p.Open)+failureWeight*f*f, 0
		switch isFull := load >= float64(allowed(p.Runner)); {
		case isFull:
		case isHome(p):
			rank = 2
		case mayUseAll || request.Plan.MayUse(p.Runner.Centre()):
			rank = 1
		}
		load /= float64(p.Runner.Slots())
		if !found || rank > bestRank || rank == bestRank && load < lowest {
			best, lowest, bestRank, found = p.Runner, load, rank, true
		}
	}
	return best, bestRank > 0, found
}
