package picking

import (
	"math"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/picker"
	"github.com/kingcupstile/kingcupstile/state/pool"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// pickFunc is a picker that returns the index of the endpoint to use. It ignores the endpoints to avoid, as none leaves
// during an experiment.
type pickFunc func(p pool.Pool, affinity uint64) int

// Pick implements kingcupstile.Picker.
func (f pickFunc) Pick(p pool.Pool, affinity uint64, _ []string) (roster.Endpoint, bool) {
	return *p.At(f(p, affinity)), true
}

func pickRandom(in inputs) kingcupstile.Picker {
	return pickFunc(func(p pool.Pool, _ uint64) int { return in.draw(p.Len()) })
}

func roundRobin(in inputs) kingcupstile.Picker {
	turn := -1
	return pickFunc(func(p pool.Pool, _ uint64) int {
		if turn < 0 {
			turn = in.draw(p.Len())
		}
		turn = (turn + 1) % p.Len()
		return turn
	})
}

// leastReported picks an endpoint with the least reported load.
func leastReported(in inputs) kingcupstile.Picker {
	return pickFunc(func(p pool.Pool, _ uint64) int {
		return lowestScore(p, in.draw, func(e *roster.Endpoint) float64 { return float64(e.RunningAttempts()) })
	})
}

// boundedHashing is consistent hashing with bounded loads: it picks the first endpoint on the ring, from the place of
// the affinity on, whose load is below the bound times the mean, rounded up, with the new request counted in the mean.
func boundedHashing(bound float64) func(in inputs) kingcupstile.Picker {
	return func(in inputs) kingcupstile.Picker {
		return pickFunc(func(p pool.Pool, affinity uint64) int {
			load := func(i int) float64 { return float64(inFlightOn(in, p.At(i)) + p.At(i).OtherAttempts()) }
			total := 0.0
			for i := range p.Len() {
				total += load(i)
			}
			limit := math.Ceil(bound * (total + 1) / float64(p.Len()))
			i := p.Successor(affinity)
			for load(i) >= limit {
				i = (i + 1) % p.Len()
			}
			return i
		})
	}
}

// cacheAware picks an endpoint of the lowest score: its load, less slack if its last report lists the prefix as cached.
func cacheAware(slack float64) func(in inputs) kingcupstile.Picker {
	return func(in inputs) kingcupstile.Picker {
		return pickFunc(func(p pool.Pool, affinity uint64) int {
			return lowestScore(p, in.draw, func(e *roster.Endpoint) float64 {
				load := float64(inFlightOn(in, e) + e.OtherAttempts())
				if in.cached(e.Name(), affinity) {
					load -= slack
				}
				return load
			})
		})
	}
}

// inFlightOn returns how many attempts of the entry are in flight on an endpoint.
func inFlightOn(in inputs, e *roster.Endpoint) int {
	n, _ := in.inFlight.Count(e.Name())
	return n
}

// lowestScore returns the index of an endpoint of the lowest score; ties are broken at random.
func lowestScore(p pool.Pool, draw func(n int) int, score func(e *roster.Endpoint) float64) int {
	best, lowest, ties := 0, math.Inf(1), 0
	for i := range p.Len() {
		switch s := score(p.At(i)); {
		case s < lowest:
			best, lowest, ties = i, s, 1
		case s == lowest:
			ties++
			if draw(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// twoChoices picks, of two endpoints drawn at random, the one on which this entry has fewer attempts in flight.
func twoChoices(in inputs) kingcupstile.Picker {
	return pickFunc(func(p pool.Pool, _ uint64) int {
		i, j := in.draw(p.Len()), in.draw(p.Len())
		if inFlightOn(in, p.At(j)) < inFlightOn(in, p.At(i)) {
			return j
		}
		return i
	})
}

// withoutAffinity passes no affinity to the picker that it wraps.
type withoutAffinity struct{ kingcupstile.Picker }

// Pick implements kingcupstile.Picker.
func (w withoutAffinity) Pick(p pool.Pool, _ uint64, avoid []string) (roster.Endpoint, bool) {
	return w.Picker.Pick(p, 0, avoid)
}

func daemonPicker(options ...picker.Option) func(in inputs) kingcupstile.Picker {
	return func(in inputs) kingcupstile.Picker {
		return picker.New(in.inFlight, append(options, picker.IntN(in.draw))...)
	}
}

// DaemonStrategy is the strategy of the daemon, with its default options.
var DaemonStrategy = Strategy{"score", daemonPicker()}

// strategies lists the strategies to compare; the first three are the baselines.
var strategies = []Strategy{
	{"random", pickRandom},
	{"round robin", roundRobin},
	{"least by report", leastReported},
	{"two choices, own in-flight", twoChoices},
	{"two choices, own and reported", func(in inputs) kingcupstile.Picker { return withoutAffinity{daemonPicker()(in)} }},
	{"bounded hashing 1.25", boundedHashing(1.25)},
	{"load and cache events", cacheAware(4)},
	DaemonStrategy,
}

// slackStrategies are the daemon's strategy with different slack. Their names give how many requests more, and how many
// times the load, the endpoint of the affinity may have compared with one drawn at random.
var slackStrategies = []Strategy{
	{"0 and 1.25", daemonPicker(picker.AffinitySlack(0, 1.25))},
	{"1 and 1.25 (default)", daemonPicker()},
	{"1 and 1.5", daemonPicker(picker.AffinitySlack(1, 1.5))},
	{"2 and 1.25", daemonPicker(picker.AffinitySlack(2, 1.25))},
	{"2 and 2", daemonPicker(picker.AffinitySlack(2, 2))},
}
