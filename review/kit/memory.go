package main

import (
	"context"
	"slices"
	"sync"
)

// memory is the KV memory of a runner in tokens. When it runs out, the newest request is preempted, even in the middle of its
// stream, and waits until there is room for all of its tokens again. Preempted requests come before new ones.
type memory struct {
	mu       sync.Mutex
	capacity int
	next     int
	active   []*sequence
	waiting  []*sequence
}

// sequence is a request with its tokens. A runner works on it while it is in memory.
type sequence struct {
	order, tokens int
	// admitted is closed when the sequence is in memory, and replaced when it is preempted.
	admitted  chan struct{}
	preempted bool
}

func (m *memory) used() int {
	sum := 0
	for _, s := range m.active {
		sum += s.tokens
	}
	return sum
}

// add queues a request with a number of prompt tokens.
func (m *memory) add(tokens int) *sequence {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	s := &sequence{order: m.next, tokens: tokens, admitted: make(chan struct{})}
	m.waiting = append(m.waiting, s)
	m.admit()
	return s
}

// admit lets waiting sequences in while there is room: preempted ones first, then in order of arrival.
func (m *memory) admit() {
	slices.SortFunc(m.waiting, func(a, b *sequence) int {
		if a.preempted != b.preempted {
			if a.preempted {
				return -1
			}
			return 1
		}
		return a.order - b.order
	})
	for len(m.waiting) > 0 && m.used()+m.waiting[0].tokens <= m.capacity {
		s := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.active = append(m.active, s)
		close(s.admitted)
	}
}

// await waits until a sequence is in memory, and reports false if ctx ends before.
func (m *memory) await(ctx context.Context, s *sequence) bool {
	m.mu.Lock()
	admitted := s.admitted
	m.mu.Unlock()
	select {
	case <-admitted:
		return true
	case <-ctx.Done():
		return false
	}
}

// grow adds tokens to a sequence, and preempts the newest ones while there is too little room.
func (m *memory) grow(s *sequence, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.tokens += tokens
	for m.used() > m.capacity && len(m.active) > 1 {
		newest := slices.MaxFunc(m.active, func(a, b *sequence) int { return a.order - b.order })
		m.active = slices.DeleteFunc(m.active, func(o *sequence) bool { return o == newest })
		newest.preempted, newest.admitted = true, make(chan struct{})
		m.waiting = append(m.waiting, newest)
	}
}

// remove ends a sequence.
func (m *memory) remove(s *sequence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	gone := func(o *sequence) bool { return o == s }
	m.active, m.waiting = slices.DeleteFunc(m.active, gone), slices.DeleteFunc(m.waiting, gone)
	m.admit()
}
