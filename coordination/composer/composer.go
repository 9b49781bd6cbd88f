package composer

import (
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/coordination/limiter"
	"github.com/kingcupstile/kingcupstile/coordination/spreader"
	"github.com/kingcupstile/kingcupstile/coordination/suspecter"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Event is an event of the director, the limiter or the suspecter.
type Event any

// Effect is an effect of the director, the limiter or the suspecter.
type Effect any

// State is the control state of an entry.
type State struct {
	director  director.State
	limiter   limiter.State
	suspecter suspecter.State
	entries   []string
}

// New returns the initial state of the named entry in a data centre, without configuration and VM list.
func New(self, centre string) State {
	return State{director: director.New(director.Self(self, centre)), limiter: limiter.New(self), suspecter: suspecter.New()}
}

// WithSpreader returns the state with another state of the director's spreader.
func (s State) WithSpreader(spread spreader.State) State {
	s.director = s.director.WithSpreader(spread)
	return s
}

// Director returns the state of the configuration, the VM list and the endpoints.
func (s State) Director() director.State { return s.director }

// Limiter returns the state of the shares of accounts' limits that this entry has borrowed and lent.
func (s State) Limiter() limiter.State { return s.limiter }

// Suspecter returns the state of the requests that are suspected of crashing endpoints.
func (s State) Suspecter() suspecter.State { return s.suspecter }

// Entries returns the names of all entries in the VM list, which the caller must not change.
func (s State) Entries() []string { return s.entries }

// Step applies one event and returns the next state and the effects to carry out; it ignores events of other packages.
func Step(s State, event Event) (State, []Effect) {
	switch e := event.(type) {
	case director.Event:
		version := s.director.Roster().Version()
		next, effects := director.Step(s.director, e)
		s.director = next
		if next.Roster().Version() != version {
			s = s.withEntries(receivedAt(e))
		}
		return s, toEffects(effects)
	case limiter.Event:
		return s.withLimiterEvent(e)
	case suspecter.Event:
		next, effects := suspecter.Step(s.suspecter, e)
		s.suspecter = next
		return s, toEffects(effects)
	}
	return s, nil
}

// receivedAt returns when an event that may carry a VM list arrived, the zero time for other events.
func receivedAt(event director.Event) time.Time {
	switch e := event.(type) {
	case director.RosterReceived:
		return e.At
	case director.SpreaderEvent:
		return e.At
	}
	return time.Time{}
}

// withEntries updates the names of the entries, here and in the limiter, from the VM list.
func (s State) withEntries(at time.Time) State {
	s.entries = nil
	for _, vm := range s.director.Roster().VMs() {
		if vm.Role() == roster.RoleEntry {
			s.entries = append(s.entries, vm.Name())
		}
	}
	s.limiter, _ = limiter.Step(s.limiter, limiter.EntriesUpdated{Names: s.entries, At: at})
	return s
}

func (s State) withLimiterEvent(e limiter.Event) (State, []Effect) {
	next, effects := limiter.Step(s.limiter, e)
	s.limiter = next
	return s, toEffects(effects)
}

func toEffects[T any](effects []T) []Effect {
	all := make([]Effect, len(effects))
	for i, effect := range effects {
		all[i] = effect
	}
	return all
}
