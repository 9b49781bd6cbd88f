package pacer

import (
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/decayer"
)

const (
	// pressureHalfLife is the half-life of the counts of refused and of all requests.
	pressureHalfLife = time.Second
	// minRetryAfter is the retry delay while hardly any request is refused: room is then found within a pass or two.
	minRetryAfter = 200 * time.Millisecond
	// retryAfterPerShare is what the delay grows by with the share of requests that are refused: callers return once or
	// twice only, and those who return into the same overload gain nothing.
	retryAfterPerShare = 2 * time.Second
)

// Pressure is the share of recent requests that were refused for lack of room, as an immutable value.
type Pressure struct {
	refused, total float64
	at             time.Duration
}

// WithRequest returns the pressure after a request was refused or admitted.
func (p Pressure) WithRequest(refused bool, now time.Duration) Pressure {
	p = p.decayed(now)
	p.total++
	if refused {
		p.refused++
	}
	return p
}

func (p Pressure) decayed(now time.Duration) Pressure {
	keep := decayer.Keep(now-p.at, pressureHalfLife)
	p.refused, p.total, p.at = p.refused*keep, p.total*keep, now
	return p
}

// Share returns the share of recent requests that were refused, from 0 to 1.
func (p Pressure) Share() float64 {
	if p.total == 0 {
		return 0
	}
	return p.refused / p.total
}

// RetryAfter returns how long a refused caller should wait; random, from 0 to 1, spreads the returns over half of the
// mean delay to each side.
func (p Pressure) RetryAfter(random float64) time.Duration {
	mean := float64(minRetryAfter) + p.Share()*float64(retryAfterPerShare)
	return time.Duration(mean * (0.5 + random))
}
