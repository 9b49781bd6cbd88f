package placer

import (
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// fadeTime is the time in which the memory of failures halves, so that a runner is tried again after a few seconds.
const fadeTime = 2 * time.Second

// forgiven is what is left of failures when they no longer count, so that an idle runner is tried again after some seconds.
const forgiven = 0.1

// maxFailures is the most failures that are remembered of one runner.
const maxFailures = 8

// Board counts this entry's open work and each runner's recent failures; it is traffic state.
type Board struct {
	mu       sync.Mutex
	open     map[string]peer.Open
	failures map[string]failure
	heard    map[string]time.Duration
}

// failure is how often a runner failed lately, as of a time.
type failure struct {
	count float64
	at    time.Duration
}

// NewBoard returns a board with nothing open.
func NewBoard() *Board {
	return &Board{open: map[string]peer.Open{}, failures: map[string]failure{}, heard: map[string]time.Duration{}}
}

// Open counts a request with a number of prompt tokens on a runner; read is to be called once they are read, and
// done when the request is over.
func (b *Board) Open(id string, tokens int) (read, done func()) {
	b.add(id, 1, tokens)
	read = sync.OnceFunc(func() { b.add(id, 0, -tokens) })
	return read, sync.OnceFunc(func() {
		read()
		b.add(id, -1, 0)
	})
}

func (b *Board) add(id string, requests, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.open[id]
	o.Requests += requests
	o.Unread += tokens
	if o == (peer.Open{}) {
		delete(b.open, id)
		delete(b.heard, id)
		return
	}
	b.open[id] = o
}

// Fail remembers that a runner did not answer as it should.
func (b *Board) Fail(id string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures[id] = failure{count: min(b.faded(id, now)+1, maxFailures), at: now}
}

// Succeed forgets a runner's failures.
func (b *Board) Succeed(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.failures, id)
}

// faded returns how many failures count now.
func (b *Board) faded(id string, now time.Duration) float64 {
	f, there := b.failures[id]
	if !there {
		return 0
	}
	halves := float64(now-f.at) / float64(fadeTime)
	for ; halves >= 1; halves-- {
		f.count /= 2
	}
	if left := f.count * (1 - max(0, halves)/2); left >= forgiven {
		return left
	}
	return 0
}

// Hear remembers that a runner gave something.
func (b *Board) Hear(id string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.open[id]; open {
		b.heard[id] = now
	}
}

// Heard returns when a runner last gave something, 0 if it has no open work or gave nothing.
func (b *Board) Heard(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heard[id]
}

// Snapshot returns this entry's open work under the runners' keys.
func (b *Board) Snapshot() map[uint32]peer.Open {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := make(map[uint32]peer.Open, len(b.open))
	for id, o := range b.open {
		open[runner.Key(id)] = o
	}
	return open
}

// View returns what is known of all runners now, with the other entries' work added.
func (b *Board) View(beats []peer.Beat, now time.Duration) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := View{entries: len(beats) + 1, open: map[uint32]peer.Open{}, failures: make(map[string]float64, len(b.failures))}
	for id, o := range b.open {
		v.add(runner.Key(id), o)
	}
	for _, beat := range beats {
		for key, o := range beat.Open {
			v.add(key, o)
		}
	}
	for id := range b.failures {
		v.failures[id] = b.faded(id, now)
	}
	return v
}
