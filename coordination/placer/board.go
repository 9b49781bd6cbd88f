package placer

import (
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/decayer"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// failureHalfLife is the half-life of a runner's failure count, so that the runner is tried again after a few seconds.
const failureHalfLife = 2 * time.Second

// minFailures is the decayed failure count below which a runner counts as having none, so that an idle runner is tried
// again after some seconds.
const minFailures = 0.1

// maxFailed is the number of runners with failures from which those that have decayed are dropped, as runners that failed
// may be gone for good.
const maxFailed = 64

// maxFailures caps a runner's failure count, and so the time for which past failures matter.
const maxFailures = 8

// Tracker tracks this entry's open work on each runner and each runner's recent failures. It is shared by the
// goroutines that serve traffic, and is not part of the control state.
type Tracker struct {
	mu          sync.Mutex
	open        map[string]peer.InFlight
	failures    map[string]failure
	lastAnswers map[string]time.Duration
	rests       map[string]rest
}

// failure is a runner's failure count as of a time, from which on it decays.
type failure struct {
	count float64
	at    time.Duration
}

// NewTracker returns a tracker without open work or failures.
func NewTracker() *Tracker {
	return &Tracker{
		open: map[string]peer.InFlight{}, failures: map[string]failure{}, lastAnswers: map[string]time.Duration{}, rests: map[string]rest{},
	}
}

// Begin adds a request with a number of prompt tokens to a runner's open work. The caller must call read once the
// runner has read the prompt, and done when the request is over; done implies read, and further calls have no effect.
func (b *Tracker) Begin(id string, tokens int) (read, done func()) {
	b.add(id, 1, tokens)
	read = sync.OnceFunc(func() { b.add(id, 0, -tokens) })
	return read, sync.OnceFunc(func() {
		read()
		b.add(id, -1, 0)
	})
}

func (b *Tracker) add(id string, requests, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.open[id]
	o.Requests += requests
	o.UnreadTokens += tokens
	if o == (peer.InFlight{}) {
		delete(b.open, id)
		delete(b.lastAnswers, id)
		return
	}
	b.open[id] = o
}

// RecordFailure adds one to a runner's failure count.
func (b *Tracker) RecordFailure(id string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.failures) >= maxFailed {
		for other := range b.failures {
			if b.decayedFailures(other, now) == 0 {
				delete(b.failures, other)
			}
		}
	}
	b.failures[id] = failure{count: min(b.decayedFailures(id, now)+1, maxFailures), at: now}
}

// ClearFailures resets a runner's failure count after a successful request. A runner that was asked again during a long rest
// has room.
func (b *Tracker) ClearFailures(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.failures, id)
	if b.rests[id].trials > 0 {
		delete(b.rests, id)
	}
}

// decayedFailures returns a runner's failure count after its decay until now: halved for each half-life, linear
// between, and 0 below minFailures.
func (b *Tracker) decayedFailures(id string, now time.Duration) float64 {
	f, found := b.failures[id]
	if !found {
		return 0
	}
	if left := f.count * decayer.Keep(now-f.at, failureHalfLife); left >= minFailures {
		return left
	}
	return 0
}

// RecordAnswer records that a runner sent part of an answer, if it has open work.
func (b *Tracker) RecordAnswer(id string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.open[id]; open {
		b.lastAnswers[id] = now
	}
}

// LastAnswer returns when a runner last sent part of an answer, 0 if it has no open work or has sent nothing since that
// began.
func (b *Tracker) LastAnswer(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastAnswers[id]
}

// Snapshot returns a copy of this entry's open work by runner.Key, for heartbeats, without that on the runners that are
// to be left out.
func (b *Tracker) Snapshot(leaveOut func(id string) bool) map[uint32]peer.InFlight {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := make(map[uint32]peer.InFlight, len(b.open))
	for id, o := range b.open {
		if !leaveOut(id) {
			open[runner.Key(id)] = o
		}
	}
	return open
}

// View returns the open work of all entries and the runners' failure counts now. The heartbeats must be one for each
// other live entry.
func (b *Tracker) View(beats []peer.Heartbeat, now time.Duration) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := View{entries: len(beats) + 1, open: map[uint32]peer.InFlight{}, failures: make(map[string]float64, len(b.failures))}
	for id, o := range b.open {
		v.add(runner.Key(id), o)
	}
	for _, beat := range beats {
		for key, o := range beat.InFlight {
			v.add(key, o)
		}
	}
	for id := range b.failures {
		v.failures[id] = b.decayedFailures(id, now)
	}
	return v
}
