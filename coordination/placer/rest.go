package placer

import "time"

const (
	// longRest is the time after a refusal from which on a runner that wants no requests for longer is asked again.
	longRest = 30 * time.Second
	// maxTrials is how many requests it gets in that time unless it answers one.
	maxTrials = 2
)

// rest is the time for which a runner wants no requests.
type rest struct {
	since, until time.Duration
	// trials is how many requests the runner got since.
	trials int
}

// isTrialDue reports whether the runner may be asked whether it has room again.
func (r rest) isTrialDue(now time.Duration) bool {
	return r.trials < maxTrials && now-r.since >= longRest*time.Duration(r.trials+1)
}

// RecordRest records that a runner wants no requests for some time.
func (b *Tracker) RecordRest(id string, d, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for other, r := range b.rests {
		if now >= r.until {
			delete(b.rests, other)
		}
	}
	r, found := b.rests[id]
	if !found {
		r = rest{since: now}
	}
	r.until = max(r.until, now+d)
	b.rests[id] = r
}

// Resting returns the runners that must get no requests now.
func (b *Tracker) Resting(now time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, r := range b.rests {
		if now < r.until && !r.isTrialDue(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RestEnd returns when a runner wants requests again, 0 if it does now.
func (b *Tracker) RestEnd(id string, now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.rests[id]; now < r.until {
		return r.until
	}
	return 0
}

// Admit reports whether a request may go to a runner, which it may not while the runner wants none. It counts the few
// that may go to one that asked for a long time.
func (b *Tracker) Admit(id string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, found := b.rests[id]
	switch {
	case !found || now >= r.until:
		return true
	case !r.isTrialDue(now):
		return false
	}
	r.trials++
	b.rests[id] = r
	return true
}
