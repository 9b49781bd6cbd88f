package daemon

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/coordination/spreader"
	"github.com/kingcupstile/kingcupstile/state/member"
)

// spreadLoop gives the carrier access to the spreader's part of an entry's control state; it implements carrier.Loop.
type spreadLoop struct{ entry *entry }

// Send queues an event of the spreader, wrapped in one of the director.
func (l spreadLoop) Send(ctx context.Context, event spreader.Event) error {
	return l.entry.loop.Send(ctx, director.SpreaderEvent{Event: event, At: time.Now()})
}

// Snapshot returns the spreader's state after the last event applied.
func (l spreadLoop) Snapshot() spreader.State { return l.entry.director().Spreader() }

// standing returns the state that the entry reports to operators.
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
