package exchanger

import (
	"context"
	"net/http"

	"github.com/kingcupstile/kingcupstile/coordination/carrier"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/member"
)

// server answers other entries and operators.
type server struct {
	carrier  *carrier.Carrier
	standing func() member.Status
}

// Handler returns what answers other entries from carrier, and operators from standing.
func Handler(c *carrier.Carrier, standing func() member.Status) http.Handler {
	return wire.NewPeerServer(server{carrier: c, standing: standing})
}

// Exchange takes a heartbeat and answers with one.
func (s server) Exchange(ctx context.Context, m *wire.Beat) (*wire.Beat, error) {
	b, err := s.carrier.Exchange(ctx, messenger.DecodeBeat(m))
	if err != nil {
		return nil, err
	}
	return messenger.EncodeBeat(b), nil
}

// Head returns the head of the configuration that the entry holds.
func (s server) Head(context.Context, *wire.HeadRequest) (*wire.HeadReply, error) {
	return &wire.HeadReply{Head: s.carrier.Head()}, nil
}

// Parts returns parts of the configuration that the entry holds.
func (s server) Parts(_ context.Context, m *wire.PartsRequest) (*wire.PartsReply, error) {
	return &wire.PartsReply{Values: s.carrier.Parts(m.GetNames())}, nil
}

// Roster returns what changed in the entry's VM list.
func (s server) Roster(_ context.Context, m *wire.RosterRequest) (*wire.RosterReply, error) {
	return messenger.EncodeChange(s.carrier.Roster(m.GetAfter())), nil
}

// State says what the entry knows.
func (s server) State(context.Context, *wire.StateRequest) (*wire.StateReply, error) {
	return messenger.EncodeStanding(s.standing()), nil
}
