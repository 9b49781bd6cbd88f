package suspect

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// CrashRetention is how long a crash is remembered. Callers send such a request again all day, and each further
	// crash is remembered for that time anew.
	CrashRetention = 10 * time.Minute
	// MaxCrashes is the most crashes that are remembered, of which the oldest are dropped first; each takes some 60
	// bytes.
	MaxCrashes = 1024
	// sameCrashWindow is how much later a crash must be for the same request and start of a runner to count as another crash.
	// Reports take up to a second to arrive, which must not make a crash look newer each time that it is passed on, and a
	// process that was paused notices the loss of a runner when it wakes.
	sameCrashWindow = time.Minute
)

// Crash is the loss of a runner while it ran a request.
type Crash struct {
	Fingerprint Fingerprint
	// Runner is the short key of the runner's start, as returned by runner.IncarnationKey.
	Runner uint32
	// At is the time of the loss, on the clock of the process that holds the value.
	At time.Duration
}

// crashKey identifies a crash: reports with the same key and close times are of the same crash.
type crashKey struct {
	fingerprint Fingerprint
	runner      uint32
}

// Crashes is the set of recent crashes, each with its time.
type Crashes struct{ lostAt map[crashKey]time.Duration }

// Len returns the number of crashes.
func (c Crashes) Len() int { return len(c.lostAt) }

// CountFor returns how many different runners crashed while they ran a request, and the time of the latest crash.
func (c Crashes) CountFor(f Fingerprint) (runners int, last time.Duration) {
	for key, at := range c.lostAt {
		if key.fingerprint != f {
			continue
		}
		if runners == 0 || at > last {
			last = at
		}
		runners++
	}
	return runners, last
}

// HasRunner reports whether a crash of a runner at about a time is in the set.
func (c Crashes) HasRunner(runner uint32, at time.Duration) bool {
	for key, known := range c.lostAt {
		if key.runner == runner && (at-known).Abs() < sameCrashWindow {
			return true
		}
	}
	return false
}

// Since returns the crashes at or after a time, the newest first.
func (c Crashes) Since(since time.Duration) []Crash {
	var list []Crash
	for key, at := range c.lostAt {
		if at >= since {
			list = append(list, Crash{Fingerprint: key.fingerprint, Runner: key.runner, At: at})
		}
	}
	slices.SortFunc(list, func(a, b Crash) int { return int(b.At - a.At) })
	return list
}

// With returns the set with crashes added; a report of a known crash keeps the time that is recorded.
func (c Crashes) With(list ...Crash) Crashes {
	var next map[crashKey]time.Duration
	for _, crash := range list {
		key := crashKey{fingerprint: crash.Fingerprint, runner: crash.Runner}
		if at, known := c.lostAt[key]; known && crash.At < at+sameCrashWindow {
			continue
		}
		if next == nil {
			next = make(map[crashKey]time.Duration, len(c.lostAt)+1)
			maps.Copy(next, c.lostAt)
		}
		next[key] = crash.At
	}
	if next == nil {
		return c
	}
	return Crashes{lostAt: next}.trimmed()
}

// WithoutBefore returns the set without the crashes before a time.
func (c Crashes) WithoutBefore(before time.Duration) Crashes {
	for _, at := range c.lostAt {
		if at < before {
			next := maps.Clone(c.lostAt)
			maps.DeleteFunc(next, func(_ crashKey, at time.Duration) bool { return at < before })
			return Crashes{lostAt: next}
		}
	}
	return c
}

// trimmed drops the oldest crashes beyond MaxCrashes. It changes the set in place, so it may be called only on a new
// one.
func (c Crashes) trimmed() Crashes {
	if len(c.lostAt) <= MaxCrashes {
		return c
	}
	for _, old := range c.Since(math.MinInt64)[MaxCrashes:] {
		delete(c.lostAt, crashKey{fingerprint: old.Fingerprint, runner: old.Runner})
	}
	return c
}
