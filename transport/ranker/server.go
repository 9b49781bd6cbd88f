package ranker

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/executor"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// codes are how kinds of failure cross between processes.
var codes = map[kingcupstile.Kind]twirp.ErrorCode{
	kingcupstile.KindConflict:    twirp.FailedPrecondition,
	kingcupstile.KindUncertain:   twirp.DeadlineExceeded,
	kingcupstile.KindUnavailable: twirp.Unavailable,
	kingcupstile.KindInvalid:     twirp.InvalidArgument,
}

// server answers for one rank.
type server struct {
	worker  kingcupstile.Worker
	layouts *layouts
}

// Handler serves a rank to the process that leads its group.
func Handler(w kingcupstile.Worker) http.Handler {
	return wire.NewRankServer(server{worker: w, layouts: newLayouts()})
}

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

// Give gives the rank an order and sees to it.
func (s server) Give(ctx context.Context, m *wire.RankOrder) (*wire.RankReply, error) {
	o := messenger.DecodeOrder(m)
	if len(m.GetChanges()) > 0 {
		base, known := s.layouts.get(m.GetEpoch(), m.GetBase())
		if !known {
			return nil, twirp.NewError(twirp.NotFound, "the map that is to be changed")
		}
		layout, fits := base.WithChanges(messenger.DecodeChanges(m.GetChanges(), len(base[0])))
		if !fits {
			return nil, twirp.NewError(twirp.NotFound, "a map that the changes fit")
		}
		o.Layout = layout
	}
	if o.Verb == rank.VerbPrepare {
		s.layouts.put(o.Epoch, o.Version, o.Layout)
	}
	carried, err := executor.Execute(ctx, s.worker, o)
	if err != nil {
		return nil, coded(err)
	}
	reply := &wire.RankReply{Report: messenger.EncodeReport(carried.Report), Whole: carried.VerifiedVersion}
	if carried.Err != nil {
		reply.Failure = string(fault.KindOf[kingcupstile.Kind](carried.Err))
	}
	return reply, nil
}

func coded(err error) error {
	code, known := codes[fault.KindOf[kingcupstile.Kind](err)]
	if !known {
		code = twirp.Internal
	}
	return twirp.NewError(code, err.Error())
}
