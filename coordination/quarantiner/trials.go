package quarantiner

import (
	"maps"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const (
	// maxAnswered is how many parts an entry remembers to have been answered; each takes some 100 bytes.
	maxAnswered = 8192
	// maxRefused is how many parts refusals are counted for.
	maxRefused = suspect.MaxParts
)

// Trials remembers which parts were answered at one entry, counts the refusals for parts that are held back, and allows one
// trial of each at a time. It is shared by the goroutines that serve traffic, and is not part of the control state.
type Trials struct {
	answered *lru.Cache[suspect.Part, time.Duration]
	mu       sync.Mutex
	refused  map[suspect.Part]int
	running  map[suspect.Part]bool
	// reported is when a loss was last reported of a part, which the control state may not have taken in yet.
	reported map[suspect.Part]time.Duration
	// costs holds the cost of the last loss by service, of losses since then.
	costs map[string]cost
	since time.Duration
}

// cost is how many requests failed because of a loss.
type cost struct {
	lostAt   time.Duration
	requests int
}

// Option sets a field of Trials under construction.
type Option func(*Trials)

// Since sets when the entry started.
func Since(at time.Duration) Option { return func(t *Trials) { t.since = at } }

// NewTrials returns an empty memory.
func NewTrials(options ...Option) *Trials {
	// The size is positive, so that New does not fail.
	answered, _ := lru.New[suspect.Part, time.Duration](maxAnswered)
	t := &Trials{
		answered: answered, refused: map[suspect.Part]int{}, running: map[suspect.Part]bool{},
		reported: map[suspect.Part]time.Duration{}, costs: map[string]cost{},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// RecordAnswer records that a runner began to answer a request with some parts.
func (t *Trials) RecordAnswer(parts []suspect.Part, now time.Duration) {
	for _, part := range parts {
		t.answered.Add(part, now)
	}
}

// AnsweredAt returns when a part was last answered here, 0 if it was not, or too long ago to be remembered.
func (t *Trials) AnsweredAt(part suspect.Part) time.Duration {
	at, _ := t.answered.Peek(part)
	return at
}

// HasAnswered reports whether all parts were answered here.
func (t *Trials) HasAnswered(parts []suspect.Part) bool {
	for _, part := range parts {
		if !t.answered.Contains(part) {
			return false
		}
	}
	return true
}

// reportTime is how long the control state may take to take in a loss.
const reportTime = 2 * time.Second

// RecordReported notes the parts that were never answered among those of which a loss is reported to the control state.
func (t *Trials) RecordReported(seen []suspect.Sighting, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.reported, func(_ suspect.Part, at time.Duration) bool { return now-at >= reportTime })
	for _, s := range seen {
		if s.AnsweredAt == 0 {
			t.reported[s.Part] = now
		}
	}
}

// IsReported reports whether a loss was just reported of one of some parts that isKnown, which asks the control state, does
// not know of yet.
func (t *Trials) IsReported(parts []suspect.Part, isKnown func(suspect.Part) bool, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.reported) > 0 && slices.ContainsFunc(parts, func(part suspect.Part) bool {
		at, found := t.reported[part]
		return found && now-at < reportTime && !isKnown(part)
	})
}

// RecordRefusal counts a request that was refused for some parts.
func (t *Trials) RecordRefusal(held []Held) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.refused) >= maxRefused {
		clear(t.refused)
	}
	for _, h := range held {
		t.refused[h.Part]++
	}
}

// Begin starts the trial of a request if it is due and none with one of its parts is running, at an entry that was last paused until
// a time, 0 for never. The caller must call end when the runner has begun to answer the request or the request is over; further
// calls have no effect.
func (t *Trials) Begin(held []Held, service string, pausedUntil, now time.Duration) (end func(), begun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range held {
		if t.running[h.Part] {
			return nil, false
		}
	}
	cost := unknownCost
	if c, found := t.costs[service]; found && c.lostAt >= max(t.since, pausedUntil) && c.covers(held) {
		cost = c.requests
	}
	if !IsTrialDue(held, func(part suspect.Part) int { return t.refused[part] }, cost, now) {
		return nil, false
	}
	for _, h := range held {
		t.running[h.Part] = true
	}
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, h := range held {
			delete(t.running, h.Part)
		}
	}), true
}

// costWindow is how long after a loss the requests that fail count as its cost.
const costWindow = 10 * time.Second

// covers reports whether the requests that failed because of the losses due to some parts were counted.
func (c cost) covers(held []Held) bool {
	return !slices.ContainsFunc(held, func(h Held) bool {
		return h.Strikes.Last < c.lostAt-knownAfter || h.Strikes.Last > c.lostAt+costWindow
	})
}

// RecordLoss records that a runner of a service was lost at a time. For each incident, the requests that fail because of it
// and those that are refused for parts are counted anew.
func (t *Trials) RecordLoss(service string, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, found := t.costs[service]; !found || at-c.lostAt > costWindow {
		t.costs[service] = cost{lostAt: at}
		clear(t.refused)
	}
}

// RecordFailed records that a request of a service got no answer from a runner.
func (t *Trials) RecordFailed(service string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, found := t.costs[service]; found && now-c.lostAt <= costWindow {
		c.requests++
		t.costs[service] = c
	}
}

// CostOf returns how many requests of a service failed here because of the last loss of a runner.
func (t *Trials) CostOf(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.costs[service].requests
}
