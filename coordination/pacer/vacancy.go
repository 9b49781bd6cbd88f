package pacer

import (
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/decayer"
)

// vacancyHalfLife is the half-life of what is known of the wait for room: a few passes of an engine under load.
const vacancyHalfLife = time.Second

// Vacancy is how soon requests find room at runners whose load is asked for, as an immutable value.
type Vacancy struct {
	// found is how many requests found room, and waited how many seconds all requests waited for it.
	found, waited float64
	at            time.Duration
}

// WithSearch returns the vacancy after a request waited for room, and found it or did not.
func (v Vacancy) WithSearch(waited time.Duration, found bool, now time.Duration) Vacancy {
	keep := decayer.Keep(now-v.at, vacancyHalfLife)
	v.found, v.waited, v.at = v.found*keep, v.waited*keep+waited.Seconds(), now
	if found {
		v.found++
	}
	return v
}

// Wait returns how long a request that finds no room is expected to wait for it: the time that requests waited for each room that
// was found. One more is counted, so that requests wait where nothing is known, and again some time after all others did in vain.
func (v Vacancy) Wait(now time.Duration) time.Duration {
	keep := decayer.Keep(now-v.at, vacancyHalfLife)
	return time.Duration(v.waited * keep / (v.found*keep + 1) * float64(time.Second))
}
