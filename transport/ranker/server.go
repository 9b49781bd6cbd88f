package ranker

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// codes are how kinds of failure cross between processes.
var codes = map[kingcupstile.Kind]twirp.ErrorCode{
	kingcupstile.KindConflict:    twirp.FailedPrecondition,
	kingcupstile.KindUncertain:   twirp.DeadlineExceeded,
	kingcupstile.KindUnavailable: twirp.Unavailable,
	kingcupstile.KindInvalid:     twirp.InvalidArgument,
}

// server answers for one rank.
type server struct{ worker kingcupstile.Worker }

// Handler serves a rank to the process that leads its group.
func Handler(w kingcupstile.Worker) http.Handler { return wire.NewRankServer(server{worker: w}) }

// Report returns what the rank says of itself.
func (s server) Report(ctx context.Context, _ *wire.RankRequest) (*wire.RankReport, error) {
	r, err := s.worker.Report(ctx)
	if err != nil {
		return nil, coded(err)
	}
	return messenger.EncodeReport(r), nil
}

// Counts returns how often the rank's requests chose each expert.
func (s server) Counts(ctx context.Context, _ *wire.RankRequest) (*wire.RankCounts, error) {
	c, err := s.worker.Counts(ctx)
	if err != nil {
		return nil, coded(err)
	}
	return &wire.RankCounts{Epoch: c.Epoch, Step: c.Step, Counts: c.Counts}, nil
}

// Holdings returns which experts the rank holds in the map in use and in the one that it has prepared.
func (s server) Holdings(ctx context.Context, _ *wire.RankRequest) (*wire.RankHoldings, error) {
	h, err := s.worker.Holdings(ctx)
	if err != nil {
		return nil, coded(err)
	}
	return messenger.EncodeHoldings(h), nil
}

// Give passes an order on to the rank.
func (s server) Give(ctx context.Context, m *wire.RankOrder) (*wire.RankReply, error) {
	if err := s.worker.Give(ctx, messenger.DecodeOrder(m)); err != nil {
		return nil, coded(err)
	}
	return &wire.RankReply{}, nil
}

func coded(err error) error {
	code, known := codes[fault.KindOf[kingcupstile.Kind](err)]
	if !known {
		code = twirp.Internal
	}
	return twirp.NewError(code, err.Error())
}
