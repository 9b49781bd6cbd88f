package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// MaxParts is the most parts of which evidence is kept; each takes some 200 bytes.
const MaxParts = 1024

// incidentWindow is how close losses must be in time to count as one: requests with a part may be at several runners when
// the first is lost.
const incidentWindow = 2 * time.Second

// Strikes is how many incidents are due to a part since it was last answered.
type Strikes struct {
	Count int
	// Last is the time of the latest loss.
	Last time.Duration
	// Suspects is the number of parts, this one included, to which the latest loss is due alike.
	Suspects int
	// New reports that the part was never answered.
	New bool
}

// Parts is the evidence about parts of prompts, as an immutable value.
type Parts struct {
	byPart map[Part]Evidence
	// strikes is computed once for each change.
	strikes map[Part]Strikes
}

// Len returns the number of parts.
func (p Parts) Len() int { return len(p.byPart) }

// Find returns the evidence about a part, and false if there is none.
func (p Parts) Find(part Part) (Evidence, bool) {
	e, found := p.byPart[part]
	return e, found
}

// Strikes returns the incidents that are due to a part, the zero value if there is none.
func (p Parts) Strikes(part Part) Strikes { return p.strikes[part] }

// Struck returns the parts to which incidents are due.
func (p Parts) Struck() []Part { return slices.Sorted(maps.Keys(p.strikes)) }

// ChangedSince returns the evidence that changed at or after a time, that with the most strikes first and then the newest.
func (p Parts) ChangedSince(since time.Duration) []Evidence {
	var list []Evidence
	for _, e := range p.byPart {
		if e.changedAt >= since {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Evidence) int {
		return cmp.Or(
			cmp.Compare(p.strikes[b.part].Count, p.strikes[a.part].Count),
			cmp.Compare(b.changedAt, a.changedAt), cmp.Compare(a.part, b.part),
		)
	})
	return list
}

// WithLoss returns the set after a runner was lost that held unanswered requests with some parts, as is known now.
func (p Parts) WithLoss(l Loss, now time.Duration, parts ...Part) Parts {
	return p.with(now, parts, func(e Evidence) Evidence { return e.withLoss(l, now) })
}

// WithSightings returns the set after a runner was lost that held an unanswered request, as is known now.
func (p Parts) WithSightings(l Loss, now time.Duration, seen ...Sighting) Parts {
	parts, answeredAt := make([]Part, 0, len(seen)), make(map[Part]time.Duration, len(seen))
	for _, s := range seen {
		parts, answeredAt[s.Part] = append(parts, s.Part), s.AnsweredAt
	}
	return p.with(now, parts, func(e Evidence) Evidence { return e.withLoss(l, now).withAnswer(answeredAt[e.part], now) })
}

// WithAnswer returns the set after a runner began to answer a request with some parts at a time, as is known now. Parts
// without evidence are left out.
func (p Parts) WithAnswer(at, now time.Duration, parts ...Part) Parts {
	known := slices.DeleteFunc(slices.Clone(parts), func(part Part) bool {
		_, found := p.byPart[part]
		return !found
	})
	return p.with(now, known, func(e Evidence) Evidence { return e.withAnswer(at, now) })
}

// WithEvidence returns the set merged with another process's evidence, with times on this process's clock.
func (p Parts) WithEvidence(other Evidence, now time.Duration) Parts {
	return p.with(now, []Part{other.part}, func(e Evidence) Evidence {
		for _, l := range other.losses {
			e = e.withLoss(l, now)
		}
		return e.withAnswer(other.answeredAt, now)
	})
}

// WithoutExpired returns the set without the parts of which expired says so.
func (p Parts) WithoutExpired(expired func(Evidence, Strikes) bool) Parts {
	isExpired := func(part Part, e Evidence) bool { return expired(e, p.strikes[part]) }
	for part, e := range p.byPart {
		if isExpired(part, e) {
			next := maps.Clone(p.byPart)
			maps.DeleteFunc(next, isExpired)
			return newParts(next)
		}
	}
	return p
}

// with returns the set with the evidence about some parts changed.
func (p Parts) with(now time.Duration, parts []Part, change func(Evidence) Evidence) Parts {
	var next map[Part]Evidence
	for _, part := range parts {
		e, found := p.byPart[part]
		if !found {
			e = Evidence{part: part, changedAt: now}
		}
		changed := change(e)
		if found && changed.answeredAt == e.answeredAt && slices.Equal(changed.losses, e.losses) {
			continue
		}
		if next == nil {
			next = make(map[Part]Evidence, len(p.byPart)+len(parts))
			maps.Copy(next, p.byPart)
		}
		next[part] = changed
	}
	if next == nil {
		return p
	}
	return newParts(next)
}

// newParts returns the set of some evidence, which it may trim.
func newParts(byPart map[Part]Evidence) Parts {
	p := Parts{byPart: byPart, strikes: strikes(byPart)}
	if len(byPart) <= MaxParts {
		return p
	}
	for _, e := range p.ChangedSince(0)[MaxParts:] {
		delete(byPart, e.part)
		delete(p.strikes, e.part)
	}
	return p
}

// strikes attributes each loss to the parts that explain it best and counts the incidents by part. Of the parts that
// requests at the lost runner shared, one that was never answered explains the loss better than one that was, and among
// those the one that was there at the most losses.
func strikes(byPart map[Part]Evidence) map[Part]Strikes {
	byRunner := map[uint32][]attributed{}
	for _, e := range byPart {
		open := e.openLosses()
		for _, l := range open {
			byRunner[l.Runner] = append(byRunner[l.Runner], attributed{loss: l, isNew: e.isNew(), incidents: incidents(open)})
		}
	}
	counted := map[Part]Strikes{}
	for part, e := range byPart {
		open := e.openLosses()
		own := attributed{isNew: e.isNew(), incidents: incidents(open)}
		var due []Loss
		suspects := 0
		for _, l := range open {
			if n, isDue := own.countSuspects(l, byRunner[l.Runner]); isDue {
				due, suspects = append(due, l), n
			}
		}
		if len(due) > 0 {
			counted[part] = Strikes{Count: incidents(due), Last: due[len(due)-1].At, Suspects: suspects, New: e.isNew()}
		}
	}
	return counted
}

// attributed is a loss with what is known of a part that it may be due to.
type attributed struct {
	loss      Loss
	isNew     bool
	incidents int
}

// countSuspects returns how many parts explain a loss as well as this one, itself included, and false if one explains it
// better.
func (a attributed) countSuspects(l Loss, others []attributed) (n int, isDue bool) {
	for _, other := range others {
		switch {
		case !other.loss.isSame(l):
		case other.explainsBetter(a):
			return 0, false
		case !a.explainsBetter(other):
			n++
		}
	}
	return n, true
}

func (a attributed) explainsBetter(b attributed) bool {
	if a.isNew != b.isNew {
		return a.isNew
	}
	return a.incidents > b.incidents
}

// incidents counts losses in order of time, those within incidentWindow of the first of an incident as one.
func incidents(losses []Loss) int {
	n, first := 0, time.Duration(0)
	for _, l := range losses {
		if n == 0 || l.At-first >= incidentWindow {
			n, first = n+1, l.At
		}
	}
	return n
}
