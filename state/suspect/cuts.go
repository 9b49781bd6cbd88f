package suspect

import (
	"maps"
	"slices"
	"time"
)

// maxCuts is the most answers that are remembered as broken off at one start of a runner, and maxCutRunners the most starts.
const (
	maxCuts       = 64
	maxCutRunners = 256
)

// Cut is a request whose answer the runner broke off. That alone does not tell a crash from a connection that was reset.
type Cut struct {
	Fingerprint Fingerprint
	At          time.Duration
}

// Cuts is the set of answers that were broken off lately, by the short keys of the runners' starts, as an immutable value.
type Cuts struct{ byRunner map[uint32][]Cut }

// Len returns the number of starts of runners that broke answers off.
func (c Cuts) Len() int { return len(c.byRunner) }

// Has reports whether an answer was broken off at a start of a runner.
func (c Cuts) Has(runner uint32) bool { return len(c.byRunner[runner]) > 0 }

// Runners returns the starts of runners that broke answers off.
func (c Cuts) Runners() []uint32 { return slices.Sorted(maps.Keys(c.byRunner)) }

// CrashesOf returns the crashes that the broken answers of a start of a runner stand for if that start is lost.
func (c Cuts) CrashesOf(runner uint32) []Crash {
	list := make([]Crash, 0, len(c.byRunner[runner]))
	for _, cut := range c.byRunner[runner] {
		list = append(list, Crash{Fingerprint: cut.Fingerprint, Runner: runner, At: cut.At, Begun: true})
	}
	return list
}

// WithCut returns the set with an answer added that a start of a runner broke off; it is the same set if it is full.
func (c Cuts) WithCut(runner uint32, cut Cut) Cuts {
	list, found := c.byRunner[runner]
	if len(list) >= maxCuts || !found && len(c.byRunner) >= maxCutRunners {
		return c
	}
	next := make(map[uint32][]Cut, len(c.byRunner)+1)
	maps.Copy(next, c.byRunner)
	next[runner] = append(slices.Clip(list), cut)
	return Cuts{byRunner: next}
}

// Without returns the set without the answers of a start of a runner.
func (c Cuts) Without(runner uint32) Cuts {
	if !c.Has(runner) {
		return c
	}
	next := maps.Clone(c.byRunner)
	delete(next, runner)
	return Cuts{byRunner: next}
}

// WithoutOf returns the set without the answers that a start of a runner broke off before a time.
func (c Cuts) WithoutOf(runner uint32, before time.Duration) Cuts {
	left := slices.DeleteFunc(slices.Clone(c.byRunner[runner]), func(cut Cut) bool { return cut.At < before })
	switch len(left) {
	case len(c.byRunner[runner]):
		return c
	case 0:
		return c.Without(runner)
	}
	next := maps.Clone(c.byRunner)
	next[runner] = left
	return Cuts{byRunner: next}
}

// WithoutBefore returns the set without the starts of runners whose last broken answer is older than a time.
func (c Cuts) WithoutBefore(before time.Duration) Cuts {
	for runner, list := range c.byRunner {
		if list[len(list)-1].At < before {
			c = c.Without(runner)
		}
	}
	return c
}
