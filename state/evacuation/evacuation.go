package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/position"
)

// Evacuation says whether the runners of a data centre must get no requests.
type Evacuation struct {
	// Centre is the name of the data centre.
	Centre string
	// Position is the place of the change in the store's history.
	Position position.Position
	// Ended says that the runners may get requests again.
	Ended bool
}

// isNewerThan reports whether e replaces what is known. An end at the same position does, as a store may give the removal of
// an object the revision of the object.
func (e Evacuation) isNewerThan(known Evacuation) bool {
	order := e.Position.Compare(known.Position)
	return order > 0 || order == 0 && e.Ended && !known.Ended
}

// record is what is known of one data centre.
type record struct {
	Evacuation
	// reportedFrom is since when it is reported to others.
	reportedFrom time.Duration
}

// Table holds the last known change of each data centre that is or was drained.
type Table struct{ byCentre map[string]record }

// Find returns the last known change of a data centre, and false if none is known.
func (t Table) Find(centre string) (Evacuation, bool) {
	r, found := t.byCentre[centre]
	return r.Evacuation, found
}

// IsEvacuated reports whether a data centre is drained.
func (t Table) IsEvacuated(centre string) bool {
	r, found := t.byCentre[centre]
	return found && !r.Ended
}

// Centres returns the drained data centres in order.
func (t Table) Centres() []string {
	var centres []string
	for centre, r := range t.byCentre {
		if !r.Ended {
			centres = append(centres, centre)
		}
	}
	slices.Sort(centres)
	return centres
}

// With returns the table after a change became known at a time; a change that is older than what is known has no effect, but that an
// end is reported anew, as whoever reports an older drain has missed it.
func (t Table) With(e Evacuation, at time.Duration) Table {
	known, found := t.byCentre[e.Centre]
	switch {
	case !found || e.isNewerThan(known.Evacuation):
		known = record{Evacuation: e, reportedFrom: at}
	case known.Ended && !e.Ended:
		known.reportedFrom = at
	default:
		return t
	}
	next := maps.Clone(t.byCentre)
	if next == nil {
		next = map[string]record{}
	}
	next[e.Centre] = known
	return Table{byCentre: next}
}

// Reported returns the changes to report to others at a time, the latest first and at most a number of them: all drains in force,
// and those that ended less than a retention time before.
func (t Table) Reported(now, retention time.Duration, most int) []Evacuation {
	var list []Evacuation
	for _, r := range t.byCentre {
		if !r.Ended || now-r.reportedFrom < retention {
			list = append(list, r.Evacuation)
		}
	}
	slices.SortFunc(list, func(a, b Evacuation) int {
		return cmp.Or(b.Position.Compare(a.Position), cmp.Compare(a.Centre, b.Centre))
	})
	return list[:min(len(list), most)]
}
