package ranker

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/executor"
	"github.com/kingcupstile/kingcupstile/coordination/leveler"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// errorCodes are the twirp codes that stand for error kinds on the wire.
var errorCodes = map[kingcupstile.Kind]twirp.ErrorCode{
	kingcupstile.KindConflict:    twirp.FailedPrecondition,
	kingcupstile.KindUncertain:   twirp.DeadlineExceeded,
	kingcupstile.KindUnavailable: twirp.Unavailable,
	kingcupstile.KindInvalid:     twirp.InvalidArgument,
}

// server is the twirp service of one rank.
type server struct {
	worker  kingcupstile.Worker
	group   *Group
	layouts *layoutCache
}

// Handler returns the twirp routes at which the other sidecars of a group reach its own rank, and others through it.
func Handler(g *Group) http.Handler {
	return wire.NewRankServer(server{worker: g.own, group: g, layouts: newLayoutCache()})
}

// Report returns the rank's report of its state.
func (s server) Report(ctx context.Context, _ *wire.RankRequest) (*wire.RankReport, error) {
	r, err := s.worker.Report(ctx)
	if err != nil {
		return nil, encodeError(err)
	}
	return messenger.EncodeReport(r), nil
}

// Counts returns how often the rank's requests chose each expert.
func (s server) Counts(ctx context.Context, _ *wire.RankRequest) (*wire.RankCounts, error) {
	c, err := s.worker.Counts(ctx)
	if err != nil {
		return nil, encodeError(err)
	}
	return &wire.RankCounts{Epoch: c.Epoch, Step: c.Step, Counts: c.Counts}, nil
}

// Holdings returns which experts the rank holds for the map in use and for the map that it has prepared.
func (s server) Holdings(ctx context.Context, _ *wire.RankRequest) (*wire.RankHoldings, error) {
	h, err := s.worker.Holdings(ctx)
	if err != nil {
		return nil, encodeError(err)
	}
	return messenger.EncodeHoldings(h), nil
}

// Give carries out an order on the rank. It answers NotFound to changes of a map that it does not have, or that do not
// lead to the map that the caller means; the caller then sends the new map whole.
func (s server) Give(ctx context.Context, m *wire.RankOrder) (*wire.RankReply, error) {
	o, known := s.decodeOrder(m)
	if !known {
		return nil, twirp.NewError(twirp.NotFound, "the map that is to be changed")
	}
	carried, err := executor.Execute(ctx, s.worker, o)
	if err != nil {
		return nil, encodeError(err)
	}
	return encodeReply(carried), nil
}

// encodeReply returns the message for the result of an order.
func encodeReply(carried rank.OrderResult) *wire.RankReply {
	reply := &wire.RankReply{Report: messenger.EncodeReport(carried.Report), Whole: carried.VerifiedVersion}
	if carried.Err != nil {
		reply.Failure = string(fault.KindOf[kingcupstile.Kind](carried.Err))
	}
	return reply
}

// maxLayoutSize bounds the sets, experts and ranks of an initial map that is made for a message.
const maxLayoutSize = 1 << 12

// decodeOrder returns the order in a message, and false if its map is sent as changes of one that is not known here or
// whose result differs from what the sender meant.
func (s server) decodeOrder(m *wire.RankOrder) (rank.Order, bool) {
	o := messenger.DecodeOrder(m)
	if len(m.GetChanges()) > 0 {
		base, known := s.layouts.get(m.GetEpoch(), m.GetBase())
		sets, experts, ranks := int(m.GetSetCount()), int(m.GetExpertCount()), int(m.GetRankCount())
		if m.GetBase() == 0 && ranks > 0 && max(sets, experts, ranks) <= maxLayoutSize {
			base, known = leveler.InitialLayout(sets, experts, ranks), true
		}
		if !known || len(base) == 0 {
			return o, false
		}
		layout, fits := base.WithChanges(messenger.DecodeLayoutChanges(m.GetChanges(), len(base[0])))
		if !fits || layout.Sum() != m.GetSum() {
			return o, false
		}
		o.Layout = layout
	}
	if o.Verb == rank.VerbPrepare {
		s.layouts.put(o.Epoch, o.Version, o.Layout)
	}
	return o, true
}

// encodeError returns the twirp error for an error kind; kinds without a code become Internal.
func encodeError(err error) error {
	code, known := errorCodes[fault.KindOf[kingcupstile.Kind](err)]
	if !known {
		code = twirp.Internal
	}
	return twirp.NewError(code, err.Error())
}
