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
	// VerdictGap says that events are missing before this one.
	VerdictGap Verdict = "gap"
)

// Position is how far a stream was forwarded, as an immutable value; the zero value is that of a stream without a numbered event.
type Position struct {
	number int64
	// isKnown tells a stream that was forwarded up to the event 0 from one without a numbered event.
	isKnown bool
}

// Number returns the number of the last forwarded event, and false if there is none.
func (p Position) Number() (int64, bool) { return p.number, p.isKnown }

// String returns the number of the last forwarded event as text, empty if there is none.
func (p Position) String() string {
	if !p.isKnown {
		return ""
	}
	return strconv.FormatInt(p.number, 10)
}

// WithEvent returns the position after the event with a number, and the verdict on it; only an event that is forwarded changes the
// position.
func (p Position) WithEvent(number int64) (Position, Verdict) {
	switch {
	case p.isKnown && number <= p.number:
		return p, VerdictSkip
	case p.isKnown && number != p.number+1:
		return p, VerdictGap
	}
	return Position{number: number, isKnown: true}, VerdictForward
}
