package parser

import (
	"slices"
	"strings"
	"time"

	"github.com/kingcupstile/kingcupstile/state/catalog"
)

// DefaultSkewWeight is the weight of load skew against the cost of moving experts, in hundredths, for a service whose
// file sets none.
const DefaultSkewWeight = 50

// maxSkewWeight is the largest skew weight that a service file may set, in hundredths.
const maxSkewWeight = 99

var weekdays = []string{"mon", "tue", "wed", "thu", "fri", "sat", "sun"}

// parseFreezes parses the weekly periods, in UTC, in which no expert may be moved, such as "thu 06:00-sat 00:00".
func parseFreezes(file string, text []byte, values []string) ([]catalog.Freeze, error) {
	var freezes []catalog.Freeze
	for _, value := range values {
		begin, end, _ := strings.Cut(value, "-")
		from, fromOK := parseTimeOfWeek(begin)
		to, toOK := parseTimeOfWeek(end)
		if !fromOK || !toOK || from == to {
			return nil, wrongValue(file, text, value, "freeze", `a part of the week in UTC such as "thu 06:00-sat 00:00"`)
		}
		freezes = append(freezes, catalog.NewFreeze(from, to))
	}
	return freezes, nil
}

// parseTimeOfWeek returns the time since Monday 00:00, and false if the value is not a weekday and a time of day.
func parseTimeOfWeek(value string) (time.Duration, bool) {
	name, clock, _ := strings.Cut(value, " ")
	day := slices.Index(weekdays, name)
	at, err := time.Parse("15:04", clock)
	if day < 0 || err != nil {
		return 0, false
	}
	return time.Duration(day*24+at.Hour())*time.Hour + time.Duration(at.Minute())*time.Minute, true
}
