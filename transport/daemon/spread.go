package daemon

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/coordination/spreader"
	"github.com/kingcupstile/kingcupstile/state/member"
)

// spreadLoop lets the carrier see the spreader's part of an entry's control state.
type spreadLoop struct{ entry *entry }

// Send queues an event.
func (l spreadLoop) Send(ctx context.Context, event spreader.Event) error {
	return l.entry.loop.Send(ctx, director.SpreaderEvent{Event: event, At: time.Now()})
}

// Snapshot returns the state after the last event that was applied.
func (l spreadLoop) Snapshot() spreader.State { return l.entry.director().Spreader() }

// standing returns what the entry says of itself to operators.
func (e *entry) standing() member.Status {
	state, now := e.director(), time.Now()
	spread := state.Spreader()
	return member.Status{
		Name:        e.daemon.settings.Name,
		Version:     state.Catalog().Version(),
		Highest:     spread.Highest(),
		Roster:      state.Roster().Version(),
		Age:         spread.Beat(now).Age(),
		Established: spread.IsEstablished(),
		Relay:       spread.IsRelaying(),
		Leaving:     state.IsLeaving(),
		Alive:       spread.Alive(now),
		Departed:    spread.Departed(now),
	}
}
