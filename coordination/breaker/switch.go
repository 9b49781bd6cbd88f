package breaker

import (
	"context"
	"sync"
	"time"
)

// Switch keeps the breaker of one service. It is shared by the goroutines that serve traffic, and is not part of the control
// state.
type Switch struct {
	mu      sync.Mutex
	breaker Breaker
	// closed is closed when the breaker closes, and replaced when it opens.
	closed chan struct{}
}

// NewSwitch returns a switch with a closed breaker.
func NewSwitch() *Switch { return &Switch{closed: make(chan struct{})} }

// Breaker returns the current breaker.
func (s *Switch) Breaker() Breaker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker
}

// Update replaces the breaker by what change makes of it, and reports whether that opened it.
func (s *Switch) Update(change func(Breaker) Breaker) (opened bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasOpen := s.breaker.IsOpen()
	s.breaker = change(s.breaker)
	switch {
	case wasOpen && !s.breaker.IsOpen():
		close(s.closed)
	case !wasOpen && s.breaker.IsOpen():
		s.closed = make(chan struct{})
		return true
	}
	return false
}

// Wait waits until the breaker closes, for at most d or until ctx ends, and reports whether it closed.
func (s *Switch) Wait(ctx context.Context, d time.Duration) bool {
	s.mu.Lock()
	closed, isOpen := s.closed, s.breaker.IsOpen()
	s.mu.Unlock()
	if !isOpen {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
