package counter

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// maxFailures is the count at which further failures of an endpoint are no longer added.
const maxFailures = 64

// buckets is the number of hash chains, a power of two above the number of endpoints that the design allows for.
const buckets = 1 << 14

// Counter implements kingcupstile.InFlight with a hash table; reads take no lock.
type Counter struct {
	onFailure func(endpoint string)
	mu        sync.Mutex
	chains    [buckets]atomic.Pointer[counts]
}

// counts holds the counts of one endpoint, in the chain of the endpoints whose names' hashes have the same low bits.
type counts struct {
	hash     uint64
	next     atomic.Pointer[counts]
	inFlight atomic.Int32
	failures atomic.Int32
}

// Option sets a field of a Counter under construction.
type Option func(*Counter)

// OnFailure sets a function that is called after each failed attempt; it must not block.
func OnFailure(f func(endpoint string)) Option { return func(c *Counter) { c.onFailure = f } }

// New returns a counter without endpoints.
func New(options ...Option) *Counter {
	c := &Counter{onFailure: func(string) {}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Open counts one more attempt in flight on an endpoint until the returned function is called; further calls of that
// function have no effect.
func (c *Counter) Open(endpoint string) func() {
	n := c.ensure(endpoint)
	n.inFlight.Add(1)
	return sync.OnceFunc(func() { n.inFlight.Add(-1) })
}

// Count returns the number of attempts in flight on the named endpoint, and the number that failed there since the last
// success, where Decay reduces the weight of old ones.
func (c *Counter) Count(endpoint string) (open, failures int) {
	n := c.find(xxhash.Sum64String(endpoint))
	if n == nil {
		return 0, 0
	}
	return int(n.inFlight.Load()), int(n.failures.Load())
}

// Fail counts a failed attempt: the endpoint refused it, or its answer did not complete.
func (c *Counter) Fail(endpoint string) {
	n := c.ensure(endpoint)
	if n.failures.Load() < maxFailures {
		n.failures.Add(1)
	}
	c.onFailure(endpoint)
}

// Succeed resets the endpoint's failures after an attempt that ran.
func (c *Counter) Succeed(endpoint string) { c.ensure(endpoint).failures.Store(0) }

// Decay halves the endpoint's failures, so that the endpoint is eventually tried again.
func (c *Counter) Decay(endpoint string) {
	n := c.ensure(endpoint)
	n.failures.Store(n.failures.Load() / 2)
}

// Remove deletes the counts of an endpoint that is no longer in use.
func (c *Counter) Remove(endpoint string) {
	hash := xxhash.Sum64String(endpoint)
	c.mu.Lock()
	defer c.mu.Unlock()
	link := &c.chains[hash%buckets]
	for n := link.Load(); n != nil; n = link.Load() {
		if n.hash == hash {
			link.Store(n.next.Load())
			return
		}
		link = &n.next
	}
}

func (c *Counter) find(hash uint64) *counts {
	for n := c.chains[hash%buckets].Load(); n != nil; n = n.next.Load() {
		if n.hash == hash {
			return n
		}
	}
	return nil
}

// ensure returns the endpoint's counts, and adds them if there are none yet.
func (c *Counter) ensure(endpoint string) *counts {
	hash := xxhash.Sum64String(endpoint)
	if n := c.find(hash); n != nil {
		return n
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.find(hash); n != nil {
		return n
	}
	n := &counts{hash: hash}
	chain := &c.chains[hash%buckets]
	n.next.Store(chain.Load())
	chain.Store(n)
	return n
}
