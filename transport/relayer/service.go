package relayer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/limiter"
	"github.com/kingcupstile/kingcupstile/coordination/suspecter"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
)

// service is the twirp service for other entries.
type service struct{ relayer *Relayer }

// Handler returns the twirp routes for other entries, below wire.EntryPathPrefix.
func (r *Relayer) Handler() http.Handler { return wire.NewEntryServer(service{r}) }

// Suspect adds the received suspects to the control state, forwards them to the named entries, and returns all known
// suspects if the request is a pull.
func (s service) Suspect(ctx context.Context, m *wire.SuspectRequest) (*wire.SuspectReply, error) {
	if len(m.GetSuspicions()) > 0 {
		if err := s.relayer.send(ctx, suspecter.SuspectsReceived{Table: messenger.DecodeSuspects(m.GetSuspicions())}); err != nil {
			return nil, err
		}
	}
	var group sync.WaitGroup
	for _, name := range m.GetForward() {
		group.Go(func() { s.relayer.notifyFirst(ctx, []string{name}, m.GetSuspicions()) })
	}
	group.Wait()
	if !m.GetPull() {
		return &wire.SuspectReply{}, nil
	}
	return &wire.SuspectReply{Suspicions: messenger.EncodeSuspects(s.relayer.snapshot().Suspecter().Table())}, nil
}

// Borrow lends another entry shares of accounts' limits.
func (s service) Borrow(ctx context.Context, m *wire.BorrowRequest) (*wire.BorrowReply, error) {
	reply := make(chan []limiter.Share, 1)
	asked := limiter.DemandsReceived{Entry: m.GetEntry(), Demands: messenger.DecodeDemands(m), At: time.Now(), Reply: reply}
	if err := s.relayer.send(ctx, asked); err != nil {
		return nil, err
	}
	select {
	case shares := <-reply:
		return messenger.EncodeShares(shares), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
