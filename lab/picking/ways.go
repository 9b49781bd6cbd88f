package picking

import (
	"math"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/picker"
	"github.com/kingcupstile/kingcupstile/state/pool"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// chooser picks by the index that it returns; no endpoint of an experiment leaves.
type chooser func(p pool.Pool, affinity uint64) int

// Pick implements kingcupstile.Picker.
func (c chooser) Pick(p pool.Pool, affinity uint64, _ []string) (roster.Endpoint, bool) {
	return *p.At(c(p, affinity)), true
}

func randomly(v view) kingcupstile.Picker {
	return chooser(func(p pool.Pool, _ uint64) int { return v.draw(p.Len()) })
}

func inTurn(v view) kingcupstile.Picker {
	turn := -1
	return chooser(func(p pool.Pool, _ uint64) int {
		if turn < 0 {
			turn = v.draw(p.Len())
		}
		turn = (turn + 1) % p.Len()
		return turn
	})
}

// leastReported picks an endpoint with the least reported load.
func leastReported(v view) kingcupstile.Picker {
	return chooser(func(p pool.Pool, _ uint64) int {
		return least(p, v.draw, func(e *roster.Endpoint) float64 { return float64(e.RunningAttempts()) })
	})
}

// bounded picks the first endpoint on the ring, from the affinity's place on, whose load is at most the bound times the mean.
func bounded(bound float64) func(v view) kingcupstile.Picker {
	return func(v view) kingcupstile.Picker {
		return chooser(func(p pool.Pool, affinity uint64) int {
			load := func(i int) float64 { return float64(open(v, p.At(i)) + p.At(i).OtherAttempts()) }
			sum := 0.0
			for i := range p.Len() {
				sum += load(i)
			}
			limit := math.Ceil(bound * (sum + 1) / float64(p.Len()))
			i := p.Successor(affinity)
			for load(i) >= limit {
				i = (i + 1) % p.Len()
			}
			return i
		})
	}
}

// byEvents scores every endpoint: its load, less what its cache saves as its events last told.
func byEvents(slack float64) func(v view) kingcupstile.Picker {
	return func(v view) kingcupstile.Picker {
		return chooser(func(p pool.Pool, affinity uint64) int {
			return least(p, v.draw, func(e *roster.Endpoint) float64 {
				load := float64(open(v, e) + e.OtherAttempts())
				if v.cached(e.Name(), affinity) {
					load -= slack
				}
				return load
			})
		})
	}
}

// open returns how many attempts the entry has open on an endpoint.
func open(v view, e *roster.Endpoint) int {
	n, _ := v.inFlight.Count(e.Name())
	return n
}

// least returns the index of an endpoint of the least score, drawn at random among equals.
func least(p pool.Pool, draw func(n int) int, score func(e *roster.Endpoint) float64) int {
	best, lowest, equals := 0, math.Inf(1), 0
	for i := range p.Len() {
		switch s := score(p.At(i)); {
		case s < lowest:
			best, lowest, equals = i, s, 1
		case s == lowest:
			equals++
			if draw(equals) == 0 {
				best = i
			}
		}
	}
	return best
}

// twoChoices picks the one of two endpoints drawn at random on which this daemon has fewer attempts open.
func twoChoices(v view) kingcupstile.Picker {
	return chooser(func(p pool.Pool, _ uint64) int {
		i, j := v.draw(p.Len()), v.draw(p.Len())
		if open(v, p.At(j)) < open(v, p.At(i)) {
			return j
		}
		return i
	})
}

// forgetful hides the affinity from a picker.
type forgetful struct{ kingcupstile.Picker }

// Pick implements kingcupstile.Picker.
func (f forgetful) Pick(p pool.Pool, _ uint64, avoid []string) (roster.Endpoint, bool) {
	return f.Picker.Pick(p, 0, avoid)
}

func score(options ...picker.Option) func(v view) kingcupstile.Picker {
	return func(v view) kingcupstile.Picker {
		return picker.New(v.inFlight, append(options, picker.IntN(v.draw))...)
	}
}

// Chosen is the daemon's own way.
var Chosen = Way{"score", score()}

// ways are those that are compared; the first three are the baselines.
var ways = []Way{
	{"random", randomly},
	{"round robin", inTurn},
	{"least by report", leastReported},
	{"two choices, own in-flight", twoChoices},
	{"two choices, own and reported", func(v view) kingcupstile.Picker { return forgetful{score()(v)} }},
	{"bounded hashing 1.25", bounded(1.25)},
	{"load and cache events", byEvents(4)},
	Chosen,
}

// slacks are the daemon's way with other slack.
var slacks = []Way{
	{"0 and 1.25", score(picker.AffinitySlack(0, 1.25))},
	{"1 and 1.25 (default)", score()},
	{"1 and 1.5", score(picker.AffinitySlack(1, 1.5))},
	{"2 and 1.25", score(picker.AffinitySlack(2, 1.25))},
	{"2 and 2", score(picker.AffinitySlack(2, 2))},
}
