package suspect

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// CrashLife is how long a crash is remembered: the users' callers come again with such a request all day, and each
	// crash of it counts anew.
	CrashLife = 10 * time.Minute
	// MaxCrashes is how many crashes are remembered at most, the newest first; each takes some 60 bytes.
	MaxCrashes = 1024
	// repeatAfter is how much later a report must place a crash to speak of another one: reports are up to a second on
	// their way, which must not make a crash look newer each time that it is passed on.
	repeatAfter = 2 * time.Second
)

// Crash is a runner that was lost under a request.
type Crash struct {
	Fingerprint Fingerprint
	// Runner is the runner's short key.
	Runner uint32
	// At is when it was lost, on the clock of the process that holds the value.
	At time.Duration
}

// site is what makes two reports speak of the same crash.
type site struct {
	fingerprint Fingerprint
	runner      uint32
}

// Crashes are the runners that were lost under requests lately.
type Crashes struct{ at map[site]time.Duration }

// Len returns how many crashes are remembered.
func (c Crashes) Len() int { return len(c.at) }

// Of returns how many different runners were lost under a request, and when the last one was.
func (c Crashes) Of(f Fingerprint) (runners int, last time.Duration) {
	for s, at := range c.at {
		if s.fingerprint != f {
			continue
		}
		if runners == 0 || at > last {
			last = at
		}
		runners++
	}
	return runners, last
}

// List returns the crashes since a time, the newest first.
func (c Crashes) List(since time.Duration) []Crash {
	var list []Crash
	for s, at := range c.at {
		if at >= since {
			list = append(list, Crash{Fingerprint: s.fingerprint, Runner: s.runner, At: at})
		}
	}
	slices.SortFunc(list, func(a, b Crash) int { return int(b.At - a.At) })
	return list
}

// With returns the crashes with others; one that is known is remembered at its earlier time.
func (c Crashes) With(list ...Crash) Crashes {
	var next map[site]time.Duration
	for _, crash := range list {
		s := site{fingerprint: crash.Fingerprint, runner: crash.Runner}
		if at, known := c.at[s]; known && crash.At < at+repeatAfter {
			continue
		}
		if next == nil {
			next = make(map[site]time.Duration, len(c.at)+1)
			maps.Copy(next, c.at)
		}
		next[s] = crash.At
	}
	if next == nil {
		return c
	}
	return Crashes{at: next}.bounded()
}

// Without returns the crashes after a time.
func (c Crashes) Without(before time.Duration) Crashes {
	for _, at := range c.at {
		if at < before {
			next := maps.Clone(c.at)
			maps.DeleteFunc(next, func(_ site, at time.Duration) bool { return at < before })
			return Crashes{at: next}
		}
	}
	return c
}

// bounded drops the oldest beyond MaxCrashes.
func (c Crashes) bounded() Crashes {
	if len(c.at) <= MaxCrashes {
		return c
	}
	for _, old := range c.List(math.MinInt64)[MaxCrashes:] {
		delete(c.at, site{fingerprint: old.Fingerprint, runner: old.Runner})
	}
	return c
}
