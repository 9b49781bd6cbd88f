package suspect

import (
	"cmp"
	"maps"
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
	// Begun is whether the runner had begun to answer the request.
	Begun bool
}

// Answer says that a request was answered in full, which a request that crashes each runner is not.
type Answer struct {
	Fingerprint Fingerprint
	// At is the time of the end of the answer, on the clock of the process that holds the value.
	At time.Duration
}

// crashKey identifies a crash: reports with the same key and close times are of the same crash.
type crashKey struct {
	fingerprint Fingerprint
	runner      uint32
}

// crashRecord is what is known of a crash besides its key.
type crashRecord struct {
	at    time.Duration
	begun bool
	// knownAt is when this process learned of the crash.
	knownAt time.Duration
}

// answerRecord is when a request was answered in full, and when this process learned of it.
type answerRecord struct{ at, knownAt time.Duration }

// Crashes is the set of recent crashes, and of the answers that clear their requests of them.
type Crashes struct {
	records map[crashKey]crashRecord
	answers map[Fingerprint]answerRecord
}

// Len returns the number of crashes.
func (c Crashes) Len() int { return len(c.records) }

// CountFor returns how many different runners crashed while they ran a request since it was last answered in full, and the
// time of the latest of these crashes.
func (c Crashes) CountFor(f Fingerprint) (runners int, last time.Duration) {
	for key, r := range c.records {
		if key.fingerprint != f || c.isCleared(f, r.at) {
			continue
		}
		if runners == 0 || r.at > last {
			last = r.at
		}
		runners++
	}
	return runners, last
}

// isCleared reports whether a request was answered in full after a crash.
func (c Crashes) isCleared(f Fingerprint, crashedAt time.Duration) bool {
	answer, found := c.answers[f]
	return found && answer.at > crashedAt
}

// HasRunner reports whether a crash of a runner at about a time is in the set, under a request that it had not begun to answer.
func (c Crashes) HasRunner(runner uint32, at time.Duration) bool {
	for key, known := range c.records {
		if key.runner == runner && !known.begun && (at-known.at).Abs() < sameCrashWindow {
			return true
		}
	}
	return false
}

// KnownSince returns the crashes that became known at or after a time and were not cleared, those under the request with the most
// of them first and then the newest.
func (c Crashes) KnownSince(since time.Duration) []Crash {
	counts := map[Fingerprint]int{}
	var list []Crash
	for key, r := range c.records {
		if c.isCleared(key.fingerprint, r.at) {
			continue
		}
		counts[key.fingerprint]++
		if r.knownAt >= since {
			list = append(list, Crash{Fingerprint: key.fingerprint, Runner: key.runner, At: r.at, Begun: r.begun})
		}
	}
	slices.SortFunc(list, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(counts[b.Fingerprint], counts[a.Fingerprint]), cmp.Compare(b.At, a.At))
	})
	return list
}

// AnswersKnownSince returns the answers that became known at or after a time, the newest first.
func (c Crashes) AnswersKnownSince(since time.Duration) []Answer {
	var list []Answer
	for f, r := range c.answers {
		if r.knownAt >= since {
			list = append(list, Answer{Fingerprint: f, At: r.at})
		}
	}
	slices.SortFunc(list, func(a, b Answer) int { return cmp.Compare(b.At, a.At) })
	return list
}

// With returns the set with crashes added that are known now; a report of a known crash keeps the time that is recorded.
func (c Crashes) With(now time.Duration, list ...Crash) Crashes {
	var next map[crashKey]crashRecord
	for _, crash := range list {
		key := crashKey{fingerprint: crash.Fingerprint, runner: crash.Runner}
		if known, found := c.records[key]; found && crash.At < known.at+sameCrashWindow {
			continue
		}
		if next == nil {
			next = make(map[crashKey]crashRecord, len(c.records)+1)
			maps.Copy(next, c.records)
		}
		next[key] = crashRecord{at: crash.At, begun: crash.Begun, knownAt: now}
	}
	if next == nil {
		return c
	}
	return Crashes{records: next, answers: c.answers}.trimmed()
}

// WithAnswer returns the set after a request was answered in full, as is known now; an answer that does not clear it of every
// crash is left out.
func (c Crashes) WithAnswer(a Answer, now time.Duration) Crashes {
	if runners, last := c.CountFor(a.Fingerprint); runners == 0 || a.At <= last {
		return c
	}
	answers := maps.Clone(c.answers)
	if answers == nil {
		answers = map[Fingerprint]answerRecord{}
	}
	answers[a.Fingerprint] = answerRecord{at: a.At, knownAt: now}
	return Crashes{records: c.records, answers: answers}
}

// WithoutBefore returns the set without the crashes before a time, and without the answers that clear no other ones.
func (c Crashes) WithoutBefore(before time.Duration) Crashes {
	for _, r := range c.records {
		if r.at < before {
			records := maps.Clone(c.records)
			maps.DeleteFunc(records, func(_ crashKey, r crashRecord) bool { return r.at < before })
			return Crashes{records: records, answers: c.answers}.withoutUselessAnswers()
		}
	}
	return c
}

// trimmed drops the oldest crashes beyond MaxCrashes. It changes the set in place, so it may be called only on a new one.
func (c Crashes) trimmed() Crashes {
	if len(c.records) <= MaxCrashes {
		return c
	}
	keys := slices.SortedFunc(maps.Keys(c.records), func(a, b crashKey) int { return cmp.Compare(c.records[b].at, c.records[a].at) })
	for _, old := range keys[MaxCrashes:] {
		delete(c.records, old)
	}
	return c.withoutUselessAnswers()
}

// withoutUselessAnswers returns the set without the answers to requests of which no crash is known.
func (c Crashes) withoutUselessAnswers() Crashes {
	if len(c.answers) == 0 {
		return c
	}
	known := map[Fingerprint]bool{}
	for key := range c.records {
		known[key.fingerprint] = true
	}
	answers := maps.Clone(c.answers)
	maps.DeleteFunc(answers, func(f Fingerprint, _ answerRecord) bool { return !known[f] })
	return Crashes{records: c.records, answers: answers}
}
