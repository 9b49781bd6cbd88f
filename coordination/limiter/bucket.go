package limiter

import "time"

// burstWindow is how long unused tokens accumulate: a full bucket holds the tokens of this time, at least one.
const burstWindow = time.Second

// Bucket is the token bucket for one account's requests to a service through this entry; a token pays for a request.
type Bucket struct {
	tokens  float64
	updated time.Time
	unused  bool
}

// NewBucket returns an unused bucket, which holds the tokens of burstWindow when it is first used, at most its
// capacity.
func NewBucket() Bucket { return Bucket{unused: true} }

// WithTokenTaken returns the bucket refilled at a rate in requests per second and with one token taken; if there is
// none, it returns false and how long it takes until there is one, or burstWindow if the rate is not positive.
func (b Bucket) WithTokenTaken(rate float64, now time.Time) (Bucket, time.Duration, bool) {
	if rate <= 0 {
		return b, burstWindow, false
	}
	capacity := max(1, rate*burstWindow.Seconds())
	if b.unused {
		b = Bucket{tokens: min(capacity, rate*burstWindow.Seconds()), updated: now}
	}
	b.tokens = min(capacity, b.tokens+rate*max(0, now.Sub(b.updated).Seconds()))
	b.updated = now
	if b.tokens < 1 {
		return b, time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
	}
	b.tokens--
	return b, 0, true
}
