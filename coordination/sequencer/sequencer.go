package sequencer

import "strconv"

// Verdict is what is to be done with an event.
type Verdict string

// The verdicts on an event.
const (
	// VerdictForward says that the event is the next one.
	VerdictForward Verdict = "forward"
	// VerdictSkip says that the event was forwarded before.
	VerdictSkip Verdict = "skip"
	// VerdictGap says that events are missing between the runs before and this one.
	VerdictGap Verdict = "gap"
)

// Position is how far a stream was forwarded, as an immutable value; the zero value is that of a stream that has not begun.
type Position struct {
	number int64
	// isKnown tells a stream that was forwarded up to the event 0 from one without a numbered event.
	isKnown bool
	// isUnnumbered says that the last forwarded event has no number.
	isUnnumbered bool
	// isDense says that numbers rose by one so far, at least once, and isSparse that a run left out some. isRunStart says that the next
	// event is the first one of a run.
	isDense, isSparse, isRunStart bool
}

// HasBegun reports whether an event was forwarded.
func (p Position) HasBegun() bool { return p.isKnown || p.isUnnumbered }

// IsResumable reports whether another run can go on after the last forwarded event, or begin if there is none. It cannot after one
// without a number, as it is not known which events that run has to leave out.
func (p Position) IsResumable() bool { return !p.isUnnumbered }

// Number returns the number of the last forwarded event that has one, and false if there is none.
func (p Position) Number() (int64, bool) { return p.number, p.isKnown }

// String returns the number of the last forwarded event that has one as text, empty if there is none.
func (p Position) String() string {
	if !p.isKnown {
		return ""
	}
	return strconv.FormatInt(p.number, 10)
}

// WithRun returns the position before the first event of a run. Where numbers rose by one so far, the run has to go on with the one that
// follows.
func (p Position) WithRun() Position {
	p.isRunStart = true
	return p
}

// WithEvent returns the position after the event with a number, and the verdict on it. Within a run numbers only have to rise.
func (p Position) WithEvent(number int64) (Position, Verdict) {
	leavesOut := p.isKnown && number > p.number+1
	if p.isRunStart && leavesOut && p.isDense {
		return p, VerdictGap
	}
	p.isRunStart = false
	if p.isKnown && number <= p.number {
		return p, VerdictSkip
	}
	isSparse := p.isSparse || leavesOut
	return Position{number: number, isKnown: true, isDense: p.isKnown && !isSparse, isSparse: isSparse}, VerdictForward
}

// WithUnnumbered returns the position after an event without a number, which is always forwarded.
func (p Position) WithUnnumbered() Position {
	p.isUnnumbered = true
	return p
}
