package pacer

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Gate lets requests of one service in as its pace allows, the most urgent first; it is traffic state.
type Gate struct {
	mu   sync.Mutex
	pace Pace
	line []*waiter
	// last is when the last event of any stream came.
	last time.Duration
}

// waiter is a request that waits for room.
type waiter struct {
	priority int
	in       chan struct{}
}

// NewGate returns a gate with a pace.
func NewGate(p Pace) *Gate { return &Gate{pace: p} }

// Pace returns the pace as it is.
func (g *Gate) Pace() Pace {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pace
}

// Waiting returns how many requests wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.line)
}

// Update changes the bounds.
func (g *Gate) Update(b Bounds) { g.change(func(p Pace) Pace { return p.WithBounds(b) }) }

// Pause takes in a pause between two events of a stream.
func (g *Gate) Pause(d, now time.Duration) {
	g.change(func(p Pace) Pace {
		g.last = now
		return p.WithPause(d, now)
	})
}

// advancing is how long ago the last event may be for a service's streams to count as advancing: a few passes.
const advancing = 300 * time.Millisecond

// Advanced reports whether some stream of the service gave an event lately.
func (g *Gate) Advanced(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last > 0 && now-g.last < advancing
}

func (g *Gate) change(with func(Pace) Pace) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pace = with(g.pace)
	g.admit()
}

// admit lets those in for whom there is room.
func (g *Gate) admit() {
	for len(g.line) > 0 && g.pace.HasRoom() {
		g.pace = g.pace.WithOpened()
		close(g.line[0].in)
		g.line = slices.Delete(g.line, 0, 1)
	}
}

// Enter waits for room at most the given time; leave must be called if it reports true. A request of a lower
// priority number goes before those of higher ones.
func (g *Gate) Enter(ctx context.Context, priority int, wait time.Duration) (leave func(), entered bool) {
	g.mu.Lock()
	if len(g.line) == 0 && g.pace.HasRoom() {
		g.pace = g.pace.WithOpened()
		g.mu.Unlock()
		return g.leave(), true
	}
	if wait <= 0 {
		g.mu.Unlock()
		return nil, false
	}
	w := &waiter{priority: priority, in: make(chan struct{})}
	at := len(g.line)
	for at > 0 && g.line[at-1].priority > priority {
		at--
	}
	g.line = slices.Insert(g.line, at, w)
	g.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.in:
		return g.leave(), true
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.withdraw(w)
}

// withdraw takes a waiter out of the line unless it was let in meanwhile.
func (g *Gate) withdraw(w *waiter) (func(), bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.line, w); i >= 0 {
		g.line = slices.Delete(g.line, i, i+1)
		return nil, false
	}
	return g.leave(), true
}

func (g *Gate) leave() func() {
	return sync.OnceFunc(func() { g.change(Pace.WithClosed) })
}
