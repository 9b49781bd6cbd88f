package warmer

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupstile/kingcupstile/state/routing"
)

// steps is the number of steps in which the load of a cold runner returns, the last of which is that it is warm.
const steps = 5

// Policy is what cold runners of a service may get, as an immutable value. The zero value limits nothing.
type Policy struct {
	cold           routing.Cold
	overage, slack float64
}

// NewPolicy returns a policy for runners that can bear what c says. Over all entries, a cold runner must get at most that many requests
// in a second times the overage, plus the slack.
func NewPolicy(c routing.Cold, overage, slack float64) Policy {
	return Policy{cold: c, overage: overage, slack: slack}
}

// IsOn reports whether the load of cold runners is limited: an overage is set, and it is known what they can bear.
func (p Policy) IsOn() bool { return p.overage > 0 && p.cold.PerSecond > 0 }

// Bound returns how many requests a cold runner must get at most in any second, over all entries.
func (p Policy) Bound() int {
	return max(1, int(min(p.cold.PerSecond*p.overage+max(0, p.slack), math.MaxInt32)))
}

// Target returns the number of requests in a second from which on a cold runner gets no more: what it can bear. The rest up to the bound
// is for requests that were under way when it was counted, and for those of entries that get no answer.
func (p Policy) Target() int {
	return min(max(1, int(min(p.cold.PerSecond, math.MaxInt32))), p.Bound())
}

// Slots returns how many of its slots a runner that stays cold for some time may have in use, at least one. It rises in steps of equal
// length. A runner that stays cold for longer than is known of its service is at the first step.
func (p Policy) Slots(slots int, left time.Duration) int {
	if left <= 0 {
		return slots
	}
	step := 1
	if passed := p.cold.Period - left; passed > 0 {
		step += int((steps - 1) * passed / p.cold.Period)
	}
	return max(1, slots*step/steps)
}

// Seen is what is known of a runner, most of it by the process beside it.
type Seen struct {
	// Left is how long the runner stays cold, 0 if it is warm.
	Left time.Duration
	// Recent is how many requests were announced to it within the last second.
	Recent int
	// Draw is a random number from 0 to 1, 1 excluded.
	Draw float64
}

const (
	// thinShare is the share of the target from which on fewer and fewer requests may be sent.
	thinShare = 0.5
	// lastSlotShare is the share of the requests that may take the last slot of a step.
	lastSlotShare = 0.5
)

// Allowed returns how many requests a runner with a number of slots may have open for one more to be sent to it, 0 if it must get none.
// The closer the recent requests come to the target, the fewer of those that see this may go on: others that saw the same are under way,
// and some may not be announced yet. The same holds for the last slot of a step, unless it is the only one.
func (p Policy) Allowed(s Seen, slots int) int {
	left := float64(p.Target() - s.Recent)
	switch {
	case !p.IsOn() || s.Left <= 0:
		return math.MaxInt32
	case left <= 0 || s.Draw*thinShare*float64(p.Target()) >= left:
		return 0
	}
	n := p.Slots(slots, s.Left)
	if n > 1 && s.Draw >= lastSlotShare {
		n--
	}
	return n
}

// Share returns how many requests an entry may send in a second to a cold runner for which nothing answers, given the names of all
// entries, itself included: its even part of a budget. The budget is what is left of the bound beside the target where others may get
// answers for the runner, as these send up to the target, and else the target. Among more entries than that, those that have one request
// each follow from the names alone, so that entries that do not hear each other agree.
func (p Policy) Share(runner, self string, entries []string, othersMayGetAnswers bool) int {
	budget := p.Target()
	if othersMayGetAnswers {
		budget = max(1, p.Bound()-p.Target())
	}
	if len(entries) <= budget {
		return budget / max(1, len(entries))
	}
	before, own := 0, weight(runner, self)
	for _, e := range entries {
		if w := weight(runner, e); w < own || w == own && e < self {
			before++
		}
	}
	if before < budget {
		return 1
	}
	return 0
}

// weight orders the entries of a runner, differently for each runner.
func weight(runner, entry string) uint64 { return xxhash.Sum64String(runner + "/" + entry) }
