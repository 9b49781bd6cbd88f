package catalog

import (
	"slices"
	"time"
)

// week is the period with which a freeze recurs.
const week = 7 * 24 * time.Hour

// Freeze is a period of each week, in UTC, during which no expert is moved.
type Freeze struct {
	from, to time.Duration
}

// NewFreeze returns a freeze; from and to count from Monday 00:00 UTC, and one that ends before it begins includes the
// night from Sunday to Monday.
func NewFreeze(from, to time.Duration) Freeze { return Freeze{from: from, to: to} }

// From returns the start of the freeze, counted from Monday 00:00 UTC.
func (f Freeze) From() time.Duration { return f.from }

// To returns the end of the freeze, counted from Monday 00:00 UTC.
func (f Freeze) To() time.Duration { return f.to }

// Contains reports whether t is in the freeze; from is included, to is not.
func (f Freeze) Contains(t time.Time) bool {
	t = t.UTC()
	days := time.Duration((t.Weekday()+6)%7) * 24 * time.Hour
	at := days + time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute +
		time.Duration(t.Second())*time.Second
	if f.from <= f.to {
		return f.from <= at && at < f.to
	}
	return at >= f.from || at < f.to%week
}

// ExpertMoves sets the weight of load skew against the cost of moving experts, in hundredths, and the freezes.
func ExpertMoves(weight int, freezes ...Freeze) ServiceOption {
	return func(s *Service) { s.skewWeight, s.freezes = weight, append([]Freeze(nil), freezes...) }
}

// SkewWeight returns the weight of load skew against the cost of moving experts, in hundredths.
func (s Service) SkewWeight() int { return s.skewWeight }

// Freezes returns the periods of each week during which no expert is moved.
func (s Service) Freezes() []Freeze { return slices.Clone(s.freezes) }

// IsFrozen reports whether a freeze of the service contains t.
func (s Service) IsFrozen(t time.Time) bool {
	return slices.ContainsFunc(s.freezes, func(f Freeze) bool { return f.Contains(t) })
}
