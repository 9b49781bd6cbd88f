package director

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/spreader"
)

// SpreaderEvent carries an event of the spreader, which replicates the configuration and the VM list among entries.
type SpreaderEvent struct {
	Event spreader.Event
	At    time.Time
}

// SpreaderEffect carries an effect of the spreader.
type SpreaderEffect struct{ Effect spreader.Effect }

func (SpreaderEvent) isEvent()   {}
func (SpreaderEffect) isEffect() {}

// Spreader returns the state of the spreader.
func (s State) Spreader() spreader.State { return s.spreader }

// WithSpreader returns the state with another state of the spreader.
func (s State) WithSpreader(spread spreader.State) State {
	s.spreader = spread
	return s
}

// withSpreaderEvent applies an event of the spreader, then adopts its configuration in force, its VM list and its list
// of daemons that are leaving or silent.
func (s State) withSpreaderEvent(e SpreaderEvent) (State, []Effect) {
	var effects []Effect
	next, spreaderEffects := spreader.Step(s.spreader, e.Event)
	s.spreader = next
	for _, effect := range spreaderEffects {
		effects = append(effects, SpreaderEffect{Effect: effect})
	}
	s = s.withCatalog(CatalogReceived{Catalog: next.InForce().Catalog(), At: e.At})
	s, watches := s.withRoster(RosterReceived{Roster: next.Roster(), At: e.At})
	if departed := next.Departed(e.At); !slices.Equal(departed, s.departed) {
		s.departed = departed
		s = s.withUsable()
	}
	return s, append(effects, watches...)
}
