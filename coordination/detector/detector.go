package detector

import (
	"sync"
	"time"
)

// StallTimeout is the time without progress after which a runner that has attempts in progress counts as stalled.
const StallTimeout = 3 * time.Second

// Detector tracks the progress of one runner. It is shared by all attempts there, and is updated by the goroutines of
// the traffic, not by that of the control state.
type Detector struct {
	mu           sync.Mutex
	running      int
	lastProgress time.Time
}

// New returns a detector of a runner without attempts.
func New() *Detector { return &Detector{} }

// Start records the start of an attempt; if no other is in progress, the stall timeout starts anew.
func (d *Detector) Start(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == 0 {
		d.lastProgress = now
	}
	d.running++
}

// Progress records that the runner produced part of an answer.
func (d *Detector) Progress(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastProgress = now
}

// End records the end of an attempt, including one that was cancelled.
func (d *Detector) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
}

// IsStalled reports whether the runner has attempts in progress and made no progress for longer than StallTimeout.
func (d *Detector) IsStalled(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running > 0 && now.Sub(d.lastProgress) > StallTimeout
}
