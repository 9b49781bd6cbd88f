package suspect

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a shared part of the prompts for one service, by a hash.
type Part uint64

// IdentifyPart returns the identifier of a part, whose name callers choose, in the prompts for a service.
func IdentifyPart(service, name string) Part {
	return Part(xxhash.Sum64String(service + "\x00" + name))
}

// maxLosses is the most losses that are remembered of one part; the verdict on it no longer changes after a few.
const maxLosses = 8

// Loss is the loss of a runner that held an unanswered request.
type Loss struct {
	// Runner is the short key of the runner's start, as returned by runner.IncarnationKey.
	Runner uint32
	// At is the time of the loss, on the clock of the process that holds the value.
	At time.Duration
}

// isSame reports whether two reports are of the same loss: one start of a runner is lost only once. Reports of it may come
// much later than it, from a process that was paused.
func (l Loss) isSame(other Loss) bool { return l.Runner == other.Runner }

// Sighting is a part that was in an unanswered request at a lost runner.
type Sighting struct {
	Part Part
	// AnsweredAt is when the process that reports it last saw the part answered, 0 if it did not.
	AnsweredAt time.Duration
}

// Evidence is what is known of one part, as an immutable value.
type Evidence struct {
	part       Part
	losses     []Loss
	answeredAt time.Duration
	changedAt  time.Duration
}

// NewEvidence returns the evidence about a part: the losses, and when it was last answered, 0 for never.
func NewEvidence(part Part, losses []Loss, answeredAt time.Duration) Evidence {
	return Evidence{part: part, losses: losses, answeredAt: answeredAt}
}

// Part returns the part.
func (e Evidence) Part() Part { return e.part }

// Losses returns the losses of runners that held an unanswered request with the part, in order of time; the caller must
// not change them.
func (e Evidence) Losses() []Loss { return e.losses }

// AnsweredAt returns when a runner last began to answer a request with the part, 0 if that is not known to have happened.
func (e Evidence) AnsweredAt() time.Duration { return e.answeredAt }

// LastLoss returns the time of the latest loss, 0 if there is none.
func (e Evidence) LastLoss() time.Duration {
	if len(e.losses) == 0 {
		return 0
	}
	return e.losses[len(e.losses)-1].At
}

// withLoss returns the evidence with a loss added. Of several reports of the same loss the earliest counts.
func (e Evidence) withLoss(l Loss, now time.Duration) Evidence {
	losses := slices.Clone(e.losses)
	if at := slices.IndexFunc(losses, l.isSame); at >= 0 {
		if losses[at].At <= l.At {
			return e
		}
		losses = slices.Delete(losses, at, at+1)
	} else {
		e.changedAt = now
	}
	at, _ := slices.BinarySearchFunc(losses, l, func(a, b Loss) int { return int(a.At - b.At) })
	losses = slices.Insert(losses, at, l)
	e.losses = losses[max(0, len(losses)-maxLosses):]
	return e
}

// withAnswer returns the evidence after an answer was begun at a time. Only an answer that is the first one, or the first
// one after a loss, is news to others.
func (e Evidence) withAnswer(at, now time.Duration) Evidence {
	if at <= e.answeredAt {
		return e
	}
	if e.answeredAt == 0 || e.answeredAt < e.LastLoss() {
		e.changedAt = now
	}
	e.answeredAt = at
	return e
}

// openLosses returns the losses since the part was last answered.
func (e Evidence) openLosses() []Loss {
	for i, l := range e.losses {
		if l.At > e.answeredAt {
			return e.losses[i:]
		}
	}
	return nil
}

// isNew reports whether the part was never answered.
func (e Evidence) isNew() bool { return e.answeredAt == 0 }
