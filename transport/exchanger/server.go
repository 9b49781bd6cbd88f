package exchanger

import (
	"context"
	"net/http"

	"github.com/kingcupstile/kingcupstile/coordination/carrier"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/member"
)

// server is the twirp service for other entries and operators.
type server struct {
	carrier  *carrier.Carrier
	standing func() member.Status
}

// Handler returns the twirp routes; calls of other entries are answered by c, and those of operators by standing.
func Handler(c *carrier.Carrier, standing func() member.Status) http.Handler {
	return wire.NewPeerServer(server{carrier: c, standing: standing})
}

// Exchange passes on another entry's heartbeat and answers with this entry's own.
func (s server) Exchange(ctx context.Context, m *wire.Beat) (*wire.Beat, error) {
	b, err := s.carrier.Exchange(ctx, messenger.DecodeHeartbeat(m))
	if err != nil {
		return nil, err
	}
	return messenger.EncodeHeartbeat(b), nil
}

// Head returns the encoded head of the configuration that the entry holds.
func (s server) Head(context.Context, *wire.HeadRequest) (*wire.HeadReply, error) {
	return &wire.HeadReply{Head: s.carrier.Head()}, nil
}

// Parts returns those of the named parts of the configuration that the entry holds, encoded.
func (s server) Parts(_ context.Context, m *wire.PartsRequest) (*wire.PartsReply, error) {
	return &wire.PartsReply{Values: s.carrier.Parts(m.GetNames())}, nil
}

// Roster returns the changes to the entry's VM list since a version.
func (s server) Roster(_ context.Context, m *wire.RosterRequest) (*wire.RosterReply, error) {
	return messenger.EncodeRosterChange(s.carrier.Roster(m.GetAfter())), nil
}

// State returns the state that the entry reports to operators.
func (s server) State(context.Context, *wire.StateRequest) (*wire.StateReply, error) {
	return messenger.EncodeEntryState(s.standing()), nil
}
