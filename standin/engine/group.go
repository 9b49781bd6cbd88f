package engine

import (
	"context"
	"sync"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Group is a simulated group of ranks that take every step together; it is safe for concurrent use.
type Group struct {
	mu                   sync.Mutex
	ranks                []*Rank
	step                 uint64
	stepsTaken           uint64
	mixedMapSteps        uint64
	blockedAttempts      uint64
	rejectedInstructions uint64
	loadAttempts         int
	rejectsStaleTokens   bool
	awaitsFirstMap       bool
	// changed is closed and replaced after each executed instruction and each restart of a rank.
	changed chan struct{}
}

// GroupOption sets a field of a Group under construction.
type GroupOption func(*Group)

// AwaitFirstMap makes every rank wait for an instruction to start on a map, as a rank beside an endpoint process does.
func AwaitFirstMap() GroupOption { return func(g *Group) { g.awaitsFirstMap = true } }

// RejectStaleTokens sets whether the engines reject instructions with a lower fencing token than they have seen.
func RejectStaleTokens(enabled bool) GroupOption {
	return func(g *Group) { g.rejectsStaleTokens = enabled }
}

// LoadAttempts sets how many attempts at a step pass until a rank has loaded a staged map.
func LoadAttempts(attempts int) GroupOption { return func(g *Group) { g.loadAttempts = attempts } }

// NewGroup returns a group of this many ranks at step 0.
func NewGroup(ranks int, options ...GroupOption) *Group {
	g := &Group{changed: make(chan struct{})}
	for _, option := range options {
		option(g)
	}
	for range ranks {
		r := &Rank{group: g}
		r.restart()
		g.ranks = append(g.ranks, r)
	}
	return g
}

// Rank returns the rank with number i, from 0.
func (g *Group) Rank(i int) *Rank { return g.ranks[i] }

// Step blocks until every rank is ready, takes one step and returns its number. It returns an Error of KindInvalid if
// the ranks used different maps, and ctx.Err() if ctx ends first.
func (g *Group) Step(ctx context.Context) (uint64, error) {
	for {
		g.mu.Lock()
		changed := g.changed
		step, taken, err := g.tryStep()
		g.mu.Unlock()
		if taken {
			return step, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return step, ctx.Err()
		}
	}
}

// TryStep takes one step if every rank is ready, and reports whether it did; it doesn't block.
func (g *Group) TryStep() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, taken, _ := g.tryStep()
	return taken
}

// tryStep takes a step if every rank is ready, and returns its number and whether it was taken. Each call counts as an
// attempt, which advances the loading of maps; mu must be held.
func (g *Group) tryStep() (uint64, bool, error) {
	ready, waiting := true, false
	for _, r := range g.ranks {
		r.advanceLoad()
		ready = ready && r.status.Started && !r.isWaiting()
		waiting = waiting || r.isWaiting()
	}
	if !ready {
		if waiting {
			g.blockedAttempts++
		}
		return g.step, false, nil
	}
	for _, r := range g.ranks {
		r.switchOver()
	}
	step := g.step
	g.step++
	g.stepsTaken++
	for _, r := range g.ranks {
		if r.status.Version != g.ranks[0].status.Version || !r.current.Equal(g.ranks[0].current) {
			g.mixedMapSteps++
			return step, true, fault.Newf("step", kingcupstile.KindInvalid,
				"ranks run one step on different maps, versions %d and %d", g.ranks[0].status.Version, r.status.Version)
		}
	}
	return step, true, nil
}

// StepsTaken returns the number of steps taken.
func (g *Group) StepsTaken() uint64 { return g.read(&g.stepsTaken) }

// MixedMapSteps returns the number of steps in which ranks used different maps.
func (g *Group) MixedMapSteps() uint64 { return g.read(&g.mixedMapSteps) }

// BlockedAttempts returns the number of attempts at a step that found a rank waiting for a decision.
func (g *Group) BlockedAttempts() uint64 { return g.read(&g.blockedAttempts) }

// RejectedInstructions returns the number of instructions that engines rejected for a stale fencing token.
func (g *Group) RejectedInstructions() uint64 { return g.read(&g.rejectedInstructions) }

// Version returns the platform object's version that put rank 0's current map in force.
func (g *Group) Version() uint64 { return g.read(&g.ranks[0].status.Version) }

// read returns a counter's value under mu.
func (g *Group) read(counter *uint64) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return *counter
}

// notify makes callers blocked in Step attempt it again; mu must be held.
func (g *Group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}
