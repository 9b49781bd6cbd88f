package answerer

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/keeper"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// service answers the twirp calls of entries.
type service struct{ answerer *Answerer }

// Settle ensures that an attempt does not start from now on, and returns the outcome that is certain after that.
func (s service) Settle(ctx context.Context, m *wire.SettleRequest) (*wire.SettleReply, error) {
	reply := make(chan attempt.Outcome, 1)
	bury := keeper.Tombstone{Attempt: messenger.DecodeAttempt(m.GetAttempt()), Reply: reply}
	if err := s.answerer.loop.Send(ctx, bury); err != nil {
		return nil, err
	}
	select {
	case outcome := <-reply:
		return &wire.SettleReply{Outcome: string(outcome)}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Report returns the endpoint's state: incarnation, drain, number of running attempts and whether the runner stalls.
func (s service) Report(context.Context, *wire.ReportRequest) (*wire.ReportReply, error) {
	state := s.answerer.Snapshot()
	return &wire.ReportReply{
		Incarnation: string(state.Incarnation()),
		Leaving:     state.IsLeaving(),
		Running:     int32(state.Running()),
		Stalled:     s.answerer.stalls.IsStalled(time.Now()),
	}, nil
}
