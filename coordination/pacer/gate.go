package pacer

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Gate admits the requests of one service up to the limit of its Pace: by priority, and then those first that must start first. It
// is shared by the goroutines that serve traffic, and is not part of the control state.
type Gate struct {
	mu    sync.Mutex
	pace  Pace
	level Level
	// thresholds bound the room of each priority, and vacancies tell how soon its requests find room.
	thresholds Thresholds
	vacancies  map[int]Vacancy
	queue      []*waiter
	// lastEvent is when the last event of any stream was received, 0 if there was none.
	lastEvent time.Duration
	// stalledUntil is when a stream last went on after a pause longer than advanceWindow, 0 if none has.
	stalledUntil time.Duration
}

// Request asks for admission.
type Request struct {
	// Priority is the priority, lower for more urgent requests.
	Priority int
	// At is the time of the request, and LatestStart when it must be admitted at the latest for its caller to be served.
	At, LatestStart time.Duration
	// Duration is how long a request of the service usually is open, 0 if that is not known.
	Duration time.Duration
}

// precedes reports whether a request is admitted before another one that came earlier.
func (r Request) precedes(other Request) bool {
	return r.Priority < other.Priority || r.Priority == other.Priority && r.LatestStart < other.LatestStart
}

// waiter is a queued request.
type waiter struct {
	Request
	// admitted is closed when the request is admitted, and refused when it cannot be admitted in time any more.
	admitted, refused chan struct{}
}

// NewGate returns a gate with an empty queue that starts with the given pace.
func NewGate(p Pace) *Gate { return &Gate{pace: p, level: NewLevel(), vacancies: map[int]Vacancy{}} }

// Pace returns the current pace.
func (g *Gate) Pace() Pace {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pace
}

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queue)
}

// SetBounds replaces the bounds of the limit and admits the queued requests that now fit.
func (g *Gate) SetBounds(b Bounds) { g.apply(func(p Pace) Pace { return p.WithBounds(b) }) }

// Level returns the current level.
func (g *Gate) Level() Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.level
}

// RecordProbe records that a runner with a number of slots was seen with some requests open; offset is as for Level.Allowed.
func (g *Gate) RecordProbe(open, slots int, offset float64, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.level = g.level.WithLoad(float64(open) / float64(slots))
	g.thresholds = g.thresholds.WithSeen(func(part float64) bool { return open >= g.level.AllowedPart(part, slots, offset) }, now)
}

// RecordSearch records that a request of a priority begins to look for room at runners whose load is asked for.
func (g *Gate) RecordSearch(priority int, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.thresholds = g.thresholds.WithAsked(priority, now)
}

// RecordRoom records that such a request waited for room, and found it or did not.
func (g *Gate) RecordRoom(priority int, waited time.Duration, found bool, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.vacancies[priority] = g.vacancies[priority].WithSearch(waited, found, now)
	if found {
		g.thresholds = g.thresholds.WithServed(priority, now)
	}
}

// Part returns the part of the room that a request of a priority may use.
func (g *Gate) Part(priority int, now time.Duration) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.thresholds.Part(priority, now)
}

// Allowed returns how many requests a runner with a number of slots may have open for one of a priority to be sent there; offset is as
// for Level.Allowed.
func (g *Gate) Allowed(priority, slots int, offset float64, now time.Duration) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.level.AllowedPart(g.thresholds.Part(priority, now), slots, offset)
}

// Vacancy returns how soon requests of a priority find room at such runners.
func (g *Gate) Vacancy(priority int) Vacancy {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.vacancies[priority]
}

// RecordGap records the gap between two events of a stream and admits the queued requests that the adapted limit
// allows.
func (g *Gate) RecordGap(d, now time.Duration) {
	g.apply(func(p Pace) Pace {
		g.lastEvent = now
		if d >= advanceWindow {
			g.stalledUntil = now
		}
		g.level = g.level.WithTarget(p.targetGap, p.baseGap).WithMaxGap(p.maxGap).WithSlots(p.slots).
			WithUsable(g.thresholds.Least()).WithGap(d, now)
		return p.WithGap(d, now)
	})
}

// advanceWindow is how long after an event the service's streams count as advancing: a few passes of an engine.
const advanceWindow = 300 * time.Millisecond

// IsAdvancing reports whether any stream of the service received an event within the last 300 ms.
func (g *Gate) IsAdvancing(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastEvent > 0 && now-g.lastEvent < advanceWindow
}

// HasStalled reports whether the service's streams stood still at some time since another one: one of them did, or all have since.
func (g *Gate) HasStalled(since, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stalledUntil > since || g.lastEvent > 0 && g.lastEvent > since-advanceWindow && now-g.lastEvent >= advanceWindow
}

func (g *Gate) apply(with func(Pace) Pace) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pace = with(g.pace)
	g.admit()
}

// admit admits requests from the head of the queue while the limit allows.
func (g *Gate) admit() {
	for len(g.queue) > 0 && g.pace.HasRoom() {
		g.pace = g.pace.WithOpened()
		close(g.queue[0].admitted)
		g.queue = slices.Delete(g.queue, 0, 1)
	}
}

// Acquire waits until the request is admitted, until its latest start at most or until ctx ends, and reports whether it was. It does
// not wait if the request would not be admitted in time, and no longer once that is so. If it was admitted, release must be called
// when the request is over; further calls of it have no effect.
func (g *Gate) Acquire(ctx context.Context, r Request) (release func(), admitted bool) {
	g.mu.Lock()
	if len(g.queue) == 0 && g.pace.HasRoom() {
		g.pace = g.pace.WithOpened()
		g.mu.Unlock()
		return g.release(), true
	}
	wait := r.LatestStart - r.At
	if wait <= 0 {
		g.mu.Unlock()
		return nil, false
	}
	w := &waiter{Request: r, admitted: make(chan struct{}), refused: make(chan struct{})}
	g.enqueue(w)
	g.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.admitted:
		return g.release(), true
	case <-w.refused:
		return nil, false
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.withdraw(w)
}

// enqueue adds a waiter to the queue, and refuses those that will not be admitted in time, which may be the waiter itself.
func (g *Gate) enqueue(w *waiter) {
	at := len(g.queue)
	for at > 0 && w.precedes(g.queue[at-1].Request) {
		at--
	}
	g.queue = slices.Insert(g.queue, at, w)
	kept := g.queue[:0]
	for _, q := range g.queue {
		if w.At+g.pace.WaitFor(len(kept), q.Duration) > q.LatestStart {
			close(q.refused)
			continue
		}
		kept = append(kept, q)
	}
	clear(g.queue[len(kept):])
	g.queue = kept
}

// withdraw removes a waiter from the queue, unless it was admitted or refused in the meantime.
func (g *Gate) withdraw(w *waiter) (func(), bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.queue, w); i >= 0 {
		g.queue = slices.Delete(g.queue, i, i+1)
		return nil, false
	}
	select {
	case <-w.admitted:
		return g.release(), true
	default:
		return nil, false
	}
}

// release returns the function that ends an admitted request.
func (g *Gate) release() func() {
	return sync.OnceFunc(func() { g.apply(Pace.WithClosed) })
}
