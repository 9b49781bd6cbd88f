package ranker

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/executor"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Relay passes an order on to the targets, or asks them for their reports, and returns the replies in the order of the
// targets. A target that did not answer has an empty reply; one that does not know the map to be changed has a reply
// with KindMissing.
func (s server) Relay(ctx context.Context, m *wire.RankBatch) (*wire.RankBatchReply, error) {
	timeout := s.group.relayTimeout()
	if rank.Verb(m.GetOrder().GetVerb()) == rank.VerbPrepare {
		timeout = executor.CopyTimeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	order, known := s.decodeOrder(m.GetOrder())
	replies := make([]*wire.RankReply, len(m.GetTargets()))
	var wait sync.WaitGroup
	for i, target := range m.GetTargets() {
		wait.Go(func() {
			o := order
			o.ExpectedOrderCount = target.GetOrders()
			replies[i] = s.relay(call, target.GetAddress(), m.GetOrder(), o, known)
		})
	}
	wait.Wait()
	return &wire.RankBatchReply{Replies: replies}, nil
}

// relay passes an order on to one rank and returns its reply, empty if it did not answer. The map of the order is known
// here if known is set; it is sent on as it came.
func (s server) relay(ctx context.Context, address string, m *wire.RankOrder, o rank.Order, known bool) *wire.RankReply {
	if o.Verb == "" {
		r, err := s.group.Rank(address).Report(ctx)
		if err != nil {
			return &wire.RankReply{}
		}
		return &wire.RankReply{Report: messenger.EncodeReport(r)}
	}
	missing := &wire.RankReply{Failure: string(kingcupstile.KindMissing)}
	if address == s.group.self {
		if !known {
			return missing
		}
		return replyOf(executor.Execute(ctx, s.worker, o))
	}
	c := s.group.client(address)
	call, cancel := context.WithTimeout(ctx, c.orderTimeout(o.Verb))
	defer cancel()
	own := proto.CloneOf(m)
	own.Orders = o.ExpectedOrderCount
	reply, err := c.sidecar.Give(call, own)
	switch {
	case err == nil:
		return reply
	case codeOf(err) == twirp.NotFound:
		return missing
	case c.isUnanswered(err) && known:
		return replyOf(c.executeAtRank(ctx, o))
	}
	return &wire.RankReply{}
}

// replyOf returns the message for the result of an order, empty if there is none.
func replyOf(carried rank.OrderResult, err error) *wire.RankReply {
	if err != nil {
		return &wire.RankReply{}
	}
	return encodeReply(carried)
}

// Gather returns the counts of the own rank and of those at the addresses since the call before; ranks that do not
// answer, or are in another epoch, are left out.
func (s server) Gather(ctx context.Context, m *wire.RankGather) (*wire.RankSum, error) {
	call, cancel := context.WithTimeout(ctx, s.group.relayTimeout())
	defer cancel()
	sums := make([]sum, len(m.GetAddresses())+1)
	var wait sync.WaitGroup
	wait.Go(func() { sums[0] = s.group.tally.take(call, s.worker) })
	for i, address := range m.GetAddresses() {
		wait.Go(func() {
			member, cancel := context.WithTimeout(call, s.group.timeout)
			defer cancel()
			sums[i+1] = s.group.client(address).gather(member, nil)
		})
	}
	wait.Wait()
	var total sum
	for _, part := range sums {
		total = total.with(part)
	}
	answer, err := messenger.EncodeTally(total.counts, total.ranks)
	if err != nil {
		return nil, encodeError(err)
	}
	return answer, nil
}

// gather returns the counts of a rank and, through its sidecar, of those at the addresses, nothing if that does not
// answer.
func (c *Client) gather(ctx context.Context, addresses []string) sum {
	m, err := c.sidecar.Gather(ctx, &wire.RankGather{Addresses: addresses})
	if err != nil {
		c.isUnanswered(err)
		return sum{}
	}
	counts, ranks, err := messenger.DecodeTally(m)
	if err != nil {
		return sum{}
	}
	return sum{counts: counts, ranks: ranks}
}

// sum is what a number of ranks have counted since they were last asked.
type sum struct {
	counts rank.Counts
	ranks  int
}

// with returns the sum with the counts of other ranks, unless they are of another epoch or shape. It may change the
// counts of s in place.
func (s sum) with(o sum) sum {
	switch {
	case o.ranks == 0:
	case s.ranks == 0:
		return o
	case s.counts.Epoch == o.counts.Epoch && len(s.counts.Counts) == len(o.counts.Counts):
		s.ranks += o.ranks
		for i, n := range o.counts.Counts {
			s.counts.Counts[i] += n
		}
	}
	return s
}

// maxTallySpan is the longest time between two counts whose difference is of use: what was counted before is no longer
// the present demand.
const maxTallySpan = 2 * time.Second

// tally keeps a rank's last counts, to which the next ones are compared.
type tally struct {
	mu   sync.Mutex
	last rank.Counts
	at   time.Time
}

// take returns what a rank has counted since the last call, nothing after too long a time or if the rank does not
// answer.
func (t *tally) take(ctx context.Context, w kingcupstile.Worker) sum {
	counts, err := w.Counts(ctx)
	if err != nil {
		return sum{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before, since := t.last, time.Since(t.at)
	t.last, t.at = counts, time.Now()
	if before.Epoch != counts.Epoch || len(before.Counts) != len(counts.Counts) || since > maxTallySpan {
		return sum{}
	}
	difference := rank.Counts{Epoch: counts.Epoch, Counts: make([]uint64, len(counts.Counts))}
	for i, c := range counts.Counts {
		if c > before.Counts[i] {
			difference.Counts[i] = c - before.Counts[i]
		}
	}
	return sum{counts: difference, ranks: 1}
}
