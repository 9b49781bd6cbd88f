package overseer

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/evacuation"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	// endReportTime is how long the end of a drain is reported to other entries.
	endReportTime = time.Minute
	// maxEvacuations bounds the data centres in one heartbeat, so that it fits into a datagram.
	maxEvacuations = 32
	// evacuationsTimeout is how long an entry that has started, or was paused, waits for what is drained before it uses the runners of
	// all data centres that it does not know to be drained.
	evacuationsTimeout = 2 * time.Second
	// pauseShare is the share of the time in which an entry must have stopped sending for which this process may have been paused without
	// asking again; the rest is left for the answer.
	pauseShare = 0.5
)

// evacuations is what is known of the data centres that operators drain.
type evacuations struct {
	// bound is the time in which this entry must stop sending to a drained data centre, 0 if it does not read which are drained.
	bound time.Duration
	table evacuation.Table
	// at is how far the changes are known, and listed is the position of the last listing.
	at     progress
	listed position.Position
	// doubts are the data centres of which a restored store's copy says something else than was known, by name.
	doubts map[string]doubt
	// awaitedFrom is when this entry began to wait for what is drained, after a start or a pause, while isAwaited is set.
	awaitedFrom time.Duration
	isAwaited   bool
	// isListed says that there was a listing.
	isListed bool
}

// doubt is what a restored store's copy says of a data centre, which counts from a time on unless it is written again before.
type doubt struct {
	copied evacuation.Evacuation
	until  time.Duration
}

// Evacuations makes the entry read which data centres operators drain, from a time on, and sets the time in which it must stop sending
// to one.
func Evacuations(bound, from time.Duration) Option {
	return func(s *State) {
		s.evacuations = evacuations{bound: bound, awaitedFrom: from, isAwaited: bound > 0}
	}
}

// ReadsEvacuations reports whether the entry reads which data centres operators drain.
func (s State) ReadsEvacuations() bool { return s.evacuations.bound > 0 }

// Usable returns the runners of a service that may receive requests, in order of identifiers, including those that are leaving; the
// caller must not change them. Those in drained data centres are left out, and all while it is not known which are drained.
func (s State) Usable(service string) []runner.Runner {
	if s.evacuations.isAwaited || s.history.isKnown && !s.history.isJoined {
		return nil
	}
	return s.usable.OfService(service)
}

// IsEvacuated reports whether operators drain a data centre.
func (s State) IsEvacuated(centre string) bool { return s.evacuations.table.IsEvacuated(centre) }

// KnowsEvacuations reports whether this entry knows which data centres are drained. Just after a start, or a pause that took a part of
// the time in which it must have stopped sending, it does not.
func (s State) KnowsEvacuations(now time.Duration) bool {
	return !s.ReadsEvacuations() || !s.evacuations.isAwaited && (s.tickedAt == 0 || now-s.tickedAt <= s.evacuations.longestPause())
}

// MaySend reports whether requests may be sent to a runner now, as far as that depends on its data centre.
func (s State) MaySend(r runner.Runner, now time.Duration) bool {
	return s.KnowsEvacuations(now) && !s.IsEvacuated(r.Centre())
}

// IsClosed reports whether a service has runners that take new work, but none of them may get requests as their data centres are drained
// or as it is not known which are.
func (s State) IsClosed(service string, now time.Duration) bool {
	if !s.ReadsEvacuations() || s.KnowsEvacuations(now) && slices.ContainsFunc(s.usable.OfService(service), runner.Runner.IsReady) {
		return false
	}
	return slices.ContainsFunc(s.runners.OfService(service), runner.Runner.IsReady)
}

// longestPause returns how long this process may have been paused without asking again, at least the gap between ticks that counts as no
// pause.
func (e evacuations) longestPause() time.Duration {
	return max(maxTickGap, time.Duration(pauseShare*float64(e.bound)))
}

// withRunnerSet returns the state with other registered and retained runners.
func (s State) withRunnerSet(set runner.Set) State {
	s.runners, s.usable = set, set
	if len(s.evacuations.table.Centres()) > 0 {
		s.usable = set.WithoutCentres(s.IsEvacuated)
	}
	return s
}

// withEvacuationEvent applies an event that carries what the store says of the drained data centres.
func (s State) withEvacuationEvent(event Event) (State, []Effect) {
	switch e := event.(type) {
	case EvacuationsListed:
		return s.withEvacuationsListed(e)
	case EvacuationsChanged:
		return s.withEvacuationsChanged(e)
	}
	return s, nil
}

// withEvacuationsListed takes in a listing of the drained data centres. It ends the drains that it lacks, but for those that are newer. A
// confirmed listing at a lower revision of the same era is that of a store that has lost its past, and takes the place of what is known;
// any other older one has no effect. What the first listing after a restore says counts only after a while.
func (s State) withEvacuationsListed(e EvacuationsListed) (State, []Effect) {
	known := s.evacuations.at.asOf
	next, isNews := s.evacuations.at.withListing(e.Position, e.Unconfirmed)
	s.evacuations.at = next
	if !isNews {
		return s, []Effect{Log{Message: "older listing of drained data centres ignored", Args: []any{"position", e.Position, "known", known}}}
	}
	table := s.evacuations.table
	if e.Position.IsBefore(known) {
		table = evacuation.Table{}
	}
	isRestored := s.evacuations.isListed && s.isRestored(known, e.Position, e.At)
	listed := make([]string, 0, len(e.Evacuations))
	for _, item := range e.Evacuations {
		item = withPosition(item, e.Position)
		if before, found := table.Find(item.Centre); isRestored && found && before.Ended {
			s = s.withDoubt(evacuation.Evacuation{Centre: item.Centre, Position: e.Position}, e.At)
			item.Ended = true
		}
		table = table.With(item, e.At)
		listed = append(listed, item.Centre)
	}
	for _, centre := range table.Centres() {
		ended := evacuation.Evacuation{Centre: centre, Position: e.Position, Ended: true}
		_, isDoubted := s.evacuations.doubts[centre]
		switch {
		case slices.Contains(listed, centre) || isDoubted:
		case isRestored:
			s = s.withDoubt(ended, e.At)
		default:
			table = table.With(ended, e.At)
		}
	}
	s.evacuations.listed = e.Position
	s, effects := s.withEvacuationTable(table, "store")
	if !s.evacuations.isListed {
		s.evacuations.isListed, s.evacuations.isAwaited = true, false
		effects = append(effects, Log{Message: "drained data centres listed", Args: []any{"drained", table.Centres()}})
	}
	return s.withEvacuationsConfirmed(e.RequestedAt), effects
}

// withEvacuationsChanged takes in changes of the drained data centres. An object that cannot be decoded exists all the same.
func (s State) withEvacuationsChanged(e EvacuationsChanged) (State, []Effect) {
	next, _ := s.evacuations.at.withChanges(e.Position)
	s.evacuations.at = next
	table := s.evacuations.table
	for _, c := range e.Changes {
		change := evacuation.Evacuation{Centre: c.Name, Position: c.Position, Ended: c.Removed}
		table = table.With(withPosition(change, e.Position), e.At)
		s = s.withoutDoubt(c.Name)
	}
	s, effects := s.withEvacuationTable(table, "store")
	return s.withEvacuationsConfirmed(e.RequestedAt), effects
}

// withPosition returns a change with the position up to which it was read if it has no revision of its own.
func withPosition(e evacuation.Evacuation, asOf position.Position) evacuation.Evacuation {
	if e.Position.Revision == 0 {
		e.Position = asOf
	}
	return e
}

// withDoubt notes what a restored store's copy says of a data centre.
func (s State) withDoubt(copied evacuation.Evacuation, at time.Duration) State {
	s.evacuations.doubts = withValue(s.evacuations.doubts, copied.Centre, doubt{copied: copied, until: at + restoreTime})
	return s
}

// withoutDoubt forgets what a restored store's copy says of a data centre.
func (s State) withoutDoubt(centre string) State {
	if _, found := s.evacuations.doubts[centre]; found {
		s.evacuations.doubts = withoutKey(s.evacuations.doubts, centre)
	}
	return s
}

// withoutExpiredDoubts takes in what a restored store's copy says of data centres of which nothing was written again in time.
func (s State) withoutExpiredDoubts(at time.Duration) (State, []Effect) {
	table := s.evacuations.table
	for centre, d := range s.evacuations.doubts {
		if at >= d.until {
			table = table.With(d.copied, at)
			s = s.withoutDoubt(centre)
		}
	}
	return s.withEvacuationTable(table, "store")
}

// withPeerEvacuations takes in the drained data centres that another entry reports. One that this entry's listing lacks, although it is
// older, has ended, and is reported so to the other entry.
func (s State) withPeerEvacuations(b peer.Heartbeat, at time.Duration) (State, []Effect) {
	if !s.ReadsEvacuations() {
		return s, nil
	}
	if s.evacuations.isListed && b.Ready && b.EchoStart == s.self.Start {
		s = s.withEvacuationsConfirmed(b.Echo)
	}
	table := s.evacuations.table
	for _, e := range b.Evacuations {
		if e.Centre == "" || e.Position.Revision == 0 {
			continue
		}
		isListed := e.Position.IsSameEra(s.evacuations.listed) && !s.evacuations.listed.IsBefore(e.Position)
		if _, found := table.Find(e.Centre); !found && isListed {
			e.Ended = true
		}
		table = table.With(e, at)
	}
	return s.withEvacuationTable(table, b.Name)
}

// withEvacuationTable returns the state with another table, and what changed by it.
func (s State) withEvacuationTable(table evacuation.Table, source string) (State, []Effect) {
	before, after := s.evacuations.table.Centres(), table.Centres()
	s.evacuations.table = table
	if slices.Equal(before, after) {
		return s, nil
	}
	s = s.withRunnerSet(s.runners)
	var effects []Effect
	for _, centre := range after {
		if !slices.Contains(before, centre) {
			drain, _ := table.Find(centre)
			effects = append(effects, Evacuated{Centre: centre}, Log{Message: "data centre drained by operators; its runners get no more requests",
				Args: []any{"centre", centre, "position", drain.Position, "source", source}})
		}
	}
	for _, centre := range before {
		if !slices.Contains(after, centre) {
			effects = append(effects, Evacuated{Centre: centre, Ended: true}, Log{
				Message: "data centre returned to service; its runners may get requests", Args: []any{"centre", centre, "source", source},
			})
		}
	}
	return s, effects
}

// withEvacuationsConfirmed ends a wait for what is drained after a pause, if the answer was asked for since.
func (s State) withEvacuationsConfirmed(askedAt time.Duration) State {
	if s.evacuations.isListed && askedAt >= s.evacuations.awaitedFrom {
		s.evacuations.isAwaited = false
	}
	return s
}

// withEvacuationsAwaited begins a wait for what is drained if this process was paused since the last tick, and ends one that takes too
// long.
func (s State) withEvacuationsAwaited(at time.Duration) (State, []Effect) {
	switch {
	case !s.ReadsEvacuations():
	case s.tickedAt > 0 && at-s.tickedAt > s.evacuations.longestPause():
		s.evacuations.awaitedFrom, s.evacuations.isAwaited = at, true
		return s, []Effect{
			Refresh{Evacuations: true},
			Log{Message: "process was paused; asking which data centres are drained", Args: []any{"pause", at - s.tickedAt}},
		}
	case s.evacuations.isAwaited && at-s.evacuations.awaitedFrom >= evacuationsTimeout:
		s.evacuations.isAwaited = false
		return s, []Effect{Log{Message: "drained data centres not known in time; using the runners of those that are not known to be drained",
			Args: []any{"drained", s.evacuations.table.Centres()}}}
	}
	return s, nil
}
