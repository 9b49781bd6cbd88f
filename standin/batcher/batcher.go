package batcher

import (
	"cmp"
	"slices"
	"time"
)

// Request is one request to a runner. Prefix identifies the prompt prefix that the request has in common with others;
// its length is PrefixTokens, that of the rest of the prompt SuffixTokens, and OutputTokens are generated.
// A higher Priority is admitted first.
type Request struct {
	ID           uint64
	Prefix       uint64
	PrefixTokens int
	SuffixTokens int
	OutputTokens int
	Priority     int
}

// Token is one generated token; Index counts the request's output tokens from 1.
type Token struct {
	Request uint64
	Index   int
	Last    bool
}

// StepCost gives the duration of a step: Base, plus Decode for each decoding sequence and Prefill for each
// prefilled token.
type StepCost struct {
	Base    time.Duration
	Decode  time.Duration
	Prefill time.Duration
}

// Batcher simulates one model runner; it is not safe for concurrent use.
type Batcher struct {
	speed        StepCost
	slots        int
	prefillChunk int
	memory       int
	waiting      []*sequence
	running      []*sequence
	cache        *cache
	reserved     int
	stepEnd      time.Duration
	busy         bool
	hits         int
	misses       int
}

// sequence is a request with its progress: prompt tokens still to prefill and output tokens generated.
type sequence struct {
	Request
	prefillLeft int
	generated   int
}

// Option sets a field of a Batcher under construction.
type Option func(*Batcher)

// Cost sets the duration of a step.
func Cost(s StepCost) Option { return func(b *Batcher) { b.speed = s } }

// Slots sets the largest number of sequences that run at once.
func Slots(n int) Option { return func(b *Batcher) { b.slots = n } }

// PrefillChunk sets the largest number of prompt tokens that one step prefills, over all sequences.
func PrefillChunk(tokens int) Option { return func(b *Batcher) { b.prefillChunk = tokens } }

// Memory sets the runner's capacity in tokens, shared by running sequences and cached prefixes.
func Memory(tokens int) Option { return func(b *Batcher) { b.memory = tokens } }

// New returns an idle runner with an empty prefix cache.
func New(options ...Option) *Batcher {
	b := &Batcher{
		speed:        StepCost{Base: 20 * time.Millisecond, Decode: time.Millisecond, Prefill: 40 * time.Microsecond},
		slots:        32,
		prefillChunk: 1024,
		memory:       120_000,
		cache:        newCache(),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// Load returns the number of requests running or waiting.
func (b *Batcher) Load() int { return len(b.running) + len(b.waiting) }

// Hits returns how many admitted requests found their prefix in the cache, and how many did not.
func (b *Batcher) Hits() (hits, misses int) { return b.hits, b.misses }

// HasPrefix reports whether a prefix is in the cache.
func (b *Batcher) HasPrefix(prefix uint64) bool { return b.cache.has(prefix) }

// CachedPrefixes returns the prefixes in the cache in ascending order.
func (b *Batcher) CachedPrefixes() []uint64 { return b.cache.prefixes() }

// Enqueue adds a request to the queue behind those of the same or a higher priority, and starts a step if the runner
// is idle.
func (b *Batcher) Enqueue(r Request, now time.Duration) {
	i, _ := slices.BinarySearchFunc(b.waiting, r.Priority, func(s *sequence, priority int) int {
		if s.Priority >= priority {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, i, &sequence{Request: r})
	if !b.busy {
		b.startStep(now)
	}
}

// StepEnd returns the time at which the step in progress ends, and false if the runner is idle.
func (b *Batcher) StepEnd() (time.Duration, bool) { return b.stepEnd, b.busy }

// Step completes the step in progress, starts the next, and returns the generated tokens.
func (b *Batcher) Step() []Token {
	tokens := b.generate()
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool {
		if s.generated < s.OutputTokens {
			return false
		}
		b.reserved -= s.SuffixTokens + s.OutputTokens
		b.cache.release(s.Prefix)
		return true
	})
	b.startStep(b.stepEnd)
	return tokens
}

// generate prefills up to one chunk and generates a token for each sequence whose prompt is prefilled.
func (b *Batcher) generate() []Token {
	tokens := make([]Token, 0, len(b.running))
	budget := b.prefillChunk
	for _, s := range b.running {
		part := min(s.prefillLeft, budget)
		s.prefillLeft -= part
		budget -= part
		if s.prefillLeft > 0 {
			continue
		}
		s.generated++
		tokens = append(tokens, Token{Request: s.ID, Index: s.generated, Last: s.generated == s.OutputTokens})
	}
	return tokens
}

// startStep admits waiting sequences in queue order until one does not fit, and starts a step if any sequence runs.
func (b *Batcher) startStep(now time.Duration) {
	for len(b.waiting) > 0 && len(b.running) < b.slots && b.admit(b.waiting[0]) {
		b.waiting = b.waiting[1:]
	}
	b.busy = len(b.running) > 0
	if !b.busy {
		return
	}
	prefill, decode := 0, 0
	for _, s := range b.running {
		if s.prefillLeft == 0 {
			decode++
		}
		prefill += s.prefillLeft
	}
	b.stepEnd = now + b.speed.Base + time.Duration(decode)*b.speed.Decode + time.Duration(min(prefill, b.prefillChunk))*b.speed.Prefill
}

// admit starts a sequence if it fits in memory, evicting unpinned prefixes as needed; prefixes evicted for a sequence
// that still does not fit stay evicted.
func (b *Batcher) admit(s *sequence) bool {
	need := s.SuffixTokens + s.OutputTokens
	hit := b.cache.has(s.Prefix)
	if !hit {
		need += s.PrefixTokens
	}
	b.cache.pin(s.Prefix, hit)
	for b.reserved+b.cache.size+need > b.memory {
		if !b.cache.evict() {
			b.cache.unpin(s.Prefix, hit)
			return false
		}
	}
	s.prefillLeft = s.SuffixTokens
	if hit {
		b.hits++
	} else {
		b.misses++
		s.prefillLeft += s.PrefixTokens
		b.cache.store(s.Prefix, s.PrefixTokens)
	}
	b.reserved += s.SuffixTokens + s.OutputTokens
	b.running = append(b.running, s)
	return true
}

// cache is an LRU cache of prompt prefixes; a prefix in use by a running sequence is pinned.
type cache struct {
	entries map[uint64]*entry
	size    int
	clock   uint64
}

// entry is a cached prefix; lastUsed is the cache's logical clock at its last use.
type entry struct {
	tokens   int
	pins     int
	lastUsed uint64
}

func newCache() *cache { return &cache{entries: map[uint64]*entry{}} }

func (c *cache) has(prefix uint64) bool { return c.entries[prefix] != nil }

func (c *cache) prefixes() []uint64 {
	all := make([]uint64, 0, len(c.entries))
	for prefix := range c.entries {
		all = append(all, prefix)
	}
	slices.SortFunc(all, cmp.Compare[uint64])
	return all
}

// pin marks a prefix as used and protects it from eviction; without a hit it does nothing.
func (c *cache) pin(prefix uint64, hit bool) {
	if hit {
		c.clock++
		c.entries[prefix].pins++
		c.entries[prefix].lastUsed = c.clock
	}
}

func (c *cache) unpin(prefix uint64, hit bool) {
	if hit {
		c.entries[prefix].pins--
	}
}

func (c *cache) store(prefix uint64, tokens int) {
	c.clock++
	c.entries[prefix] = &entry{tokens: tokens, pins: 1, lastUsed: c.clock}
	c.size += tokens
}

func (c *cache) release(prefix uint64) { c.entries[prefix].pins-- }

// evict removes the least recently used unpinned prefix and reports whether there was one.
func (c *cache) evict() bool {
	var oldest *entry
	var victim uint64
	for prefix, e := range c.entries {
		if e.pins == 0 && (oldest == nil || e.lastUsed < oldest.lastUsed) {
			oldest, victim = e, prefix
		}
	}
	if oldest == nil {
		return false
	}
	c.size -= oldest.tokens
	delete(c.entries, victim)
	return true
}
