package overseer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/routing"
)

const (
	// unreadInterval is how often an entry that cannot read the newest configuration asks the store itself, in case that the copies that it
	// reads are behind, and unreadWindow for how long. Entries do so at different times.
	unreadInterval = 15 * time.Second
	unreadWindow   = time.Second
)

// unread is what is known of a newest configuration in the store that cannot be read.
type unread struct {
	// is says that there is one, or that the store has no configuration, and position is that in the store's history.
	is       bool
	position position.Position
}

// IsConfigUnread reports whether the newest configuration in the store cannot be read, so that a newer one than that in force may have
// taken keys away.
func (s State) IsConfigUnread() bool { return s.unread.is }

// isConfirmationDue reports whether this entry is to ask the store itself whether its configuration is the newest. While it knows that it
// cannot read the newest one, no answer but a change helps.
func (s State) isConfirmationDue(now time.Duration) bool {
	isDue := s.Age(now) > s.refreshAge()
	if !isDue || !s.unread.is {
		return isDue
	}
	offset := time.Duration(xxhash.Sum64String(s.self.Name) % uint64(unreadInterval))
	return (now+offset)%unreadInterval < unreadWindow
}

// withConfigEvent applies an event that carries what the store says of the configuration.
func (s State) withConfigEvent(event Event) (State, []Effect) {
	switch e := event.(type) {
	case ConfigReceived:
		return s.withConfig(e.Table, e.RequestedAt)
	case ConfigConfirmed:
		return s.withConfirmation(e.RequestedAt), nil
	case ConfigUnread:
		return s.withConfigUnread(e)
	}
	return s, nil
}

// withConfig adopts a newer configuration and confirms an equal one; an older one is ignored. One that a restored store holds says that it
// has none that is newer than the one in force, which thereby stays confirmed.
func (s State) withConfig(t routing.Table, requestedAt time.Duration) (State, []Effect) {
	s, effects := s.withConfigRead(t, requestedAt)
	isFirst := t.Position().Era > s.history.config
	s.history.config = max(s.history.config, t.Position().Era)
	isOlder := s.hasTable && t.Version() < s.table.Version()
	if isOlder {
		effects = append(effects, Log{Message: "older configuration ignored", Args: []any{
			"version", t.Version(), "held", s.table.Version(), "position", t.Position(),
		}})
	}
	if isOlder && t.Position().Era <= s.table.Position().Era {
		return s, effects
	}
	if s.hasTable && t.Version() == s.table.Version() && t.Position().Era > s.table.Position().Era {
		s.table = t
	}
	if !s.hasTable || t.Version() > s.table.Version() {
		effects = append(effects, Log{Message: "configuration in force", Args: []any{"version", t.Version(), "before", s.table.Version()}})
		s.table, s.hasTable = t, true
	}
	if isFirst {
		var missing []Effect
		s, missing = s.withLostVersions()
		effects = append(effects, missing...)
	}
	return s.withConfirmation(requestedAt), effects
}

// withConfirmation takes in that the configuration in force was the newest when the store was asked. While a newer one cannot be read,
// or was lost by the store, that no other follows does not say so.
func (s State) withConfirmation(requestedAt time.Duration) State {
	if s.hasTable && !s.unread.is && s.table.Version() >= s.history.lost {
		s.confirmedAt = max(s.confirmedAt, requestedAt)
	}
	return s
}

// withConfigUnread takes in that the newest configuration cannot be read, unless a copy says so that is older than what is in force. The
// one in force stays, and is confirmed again once one can be read.
func (s State) withConfigUnread(e ConfigUnread) (State, []Effect) {
	isOlder := s.hasTable && e.RequestedAt == 0 && !s.table.Position().IsBefore(e.Position)
	if isOlder {
		return s, nil
	}
	wasUnread := s.unread.is
	s.history.config = max(s.history.config, e.Position.Era)
	s.unread = unread{is: true, position: position.Max(s.unread.position, e.Position)}
	if wasUnread {
		return s, nil
	}
	return s, []Effect{Unread{}, Log{
		Message: "newest configuration cannot be read or is missing; keys are refused once the one in force is too old",
		Args:    []any{"position", e.Position, "held", s.table.Version()},
	}}
}

// withConfigRead takes in that a configuration was read, unless it comes from a copy that is older than the one that cannot be read, or
// from a restored store that lacks that one.
func (s State) withConfigRead(t routing.Table, requestedAt time.Duration) (State, []Effect) {
	isOlder := requestedAt == 0 && t.Position().IsBefore(s.unread.position)
	isRestored := t.Position().Era > s.unread.position.Era && s.hasTable && t.Version() <= s.table.Version()
	if !s.unread.is || isOlder || isRestored {
		return s, nil
	}
	s.unread = unread{}
	return s, []Effect{Unread{Ended: true}, Log{Message: "newest configuration can be read again", Args: []any{"position", t.Position()}}}
}
