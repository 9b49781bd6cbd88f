package relayer

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/composer"
	"github.com/kingcupstile/kingcupstile/coordination/limiter"
	"github.com/kingcupstile/kingcupstile/coordination/suspecter"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// maxDirect is the largest number of other entries that are each sent suspects directly; if there are more, some of
// them forward the suspects to the rest.
const maxDirect = 32

// Handle carries out an effect of the limiter or the suspecter, with calls made in the background; it does not block.
func (r *Relayer) Handle(ctx context.Context, effect composer.Effect) {
	switch e := effect.(type) {
	case limiter.RequestShares:
		go r.requestShares(ctx, e)
	case limiter.SendShares:
		e.Reply <- e.Shares
	case limiter.Release:
		for _, done := range e.Done {
			close(done)
		}
	case suspecter.Broadcast:
		go r.spreadSuspects(ctx, e)
	case suspecter.Release:
		close(e.Done)
	case suspecter.SaveTable:
		go r.storeSuspects(ctx, e.Table)
	}
}

// requestShares asks the demands' homes, which are the entries that lend out an account's limit, for shares: the second
// home is asked only if the first does not answer.
func (r *Relayer) requestShares(ctx context.Context, e limiter.RequestShares) {
	request := messenger.EncodeDemands(r.self, e.Demands)
	for _, home := range e.Homes {
		if home == r.self {
			r.requestOwnShares(ctx, e.Demands)
			return
		}
		reply, err := r.borrow(ctx, home, request)
		if err == nil {
			_ = r.send(ctx, limiter.SharesReceived{Shares: messenger.DecodeShares(reply), At: time.Now()})
			return
		}
		r.scope.Counter("homes_unreachable").Inc(1)
	}
	_ = r.send(ctx, limiter.HomesUnreachable{Demands: e.Demands, At: time.Now()})
}

// borrow calls one home, with half of the usual timeout, as a second home may have to be called too.
func (r *Relayer) borrow(ctx context.Context, home string, request *wire.BorrowRequest) (*wire.BorrowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	client, err := r.entryClient(home)
	if err != nil {
		return nil, err
	}
	return client.Borrow(ctx, request)
}

// requestOwnShares asks this entry's own control state for shares, as one of the demands' homes is this entry.
func (r *Relayer) requestOwnShares(ctx context.Context, demands []limiter.Demand) {
	reply := make(chan []limiter.Share, 1)
	if r.send(ctx, limiter.DemandsReceived{Entry: r.self, Demands: demands, At: time.Now(), Reply: reply}) != nil {
		return
	}
	select {
	case shares := <-reply:
		_ = r.send(ctx, limiter.SharesReceived{Shares: shares, At: time.Now()})
	case <-ctx.Done():
	}
}

// spreadSuspects sends suspects to all other entries and then, reached or not, releases the requests that wait for it.
func (r *Relayer) spreadSuspects(ctx context.Context, e suspecter.Broadcast) {
	defer func() {
		for _, done := range e.Done {
			close(done)
		}
	}()
	messages := messenger.EncodeSuspects(e.Table)
	var group sync.WaitGroup
	for _, part := range divide(r.otherEntries()) {
		group.Go(func() { r.notifyFirst(ctx, part, messages) })
	}
	group.Wait()
	r.scope.Counter("suspects_spread").Inc(int64(e.Table.Len()))
}

// divide groups entries for notifyFirst: singly up to maxDirect, else in groups of about the square root of their
// number.
func divide(names []string) [][]string {
	size := 1
	if len(names) > maxDirect {
		size = int(math.Ceil(math.Sqrt(float64(len(names)))))
	}
	var parts [][]string
	for len(names) > 0 {
		n := min(size, len(names))
		parts = append(parts, names[:n])
		names = names[n:]
	}
	return parts
}

// notifyFirst sends suspects to the entries of a group in turn until one answers; that one forwards them to those after
// it.
func (r *Relayer) notifyFirst(ctx context.Context, names []string, messages []*wire.Suspicion) {
	for i, name := range names {
		client, err := r.entryClient(name)
		if err != nil {
			continue
		}
		timed, cancel := context.WithTimeout(ctx, 2*callTimeout)
		_, err = client.Suspect(timed, &wire.SuspectRequest{Suspicions: messages, Forward: names[i+1:]})
		cancel()
		if err == nil {
			return
		}
		r.log.Info("suspects not delivered to entry; trying the next one of its group, if any", "entry", name, "error", err)
	}
}

// storeSuspects merges suspects into the platform's table; the control state retries while the platform lacks any.
func (r *Relayer) storeSuspects(ctx context.Context, t suspect.Table) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := r.saver.Save(ctx, t)
	if err != nil {
		r.log.Warn("suspects not saved on the platform; keeping them in memory and retrying", "error", err)
		return
	}
	r.scope.Counter("suspects_saved").Inc(1)
	_ = r.send(ctx, suspecter.StoredTableRead{Table: stored})
}

// pullSuspects reads the suspects of up to maxPulls of the named entries, and reports whether any entry answered.
func (r *Relayer) pullSuspects(ctx context.Context, names []string) bool {
	answered := false
	for _, name := range names[:min(maxPulls, len(names))] {
		client, err := r.entryClient(name)
		if err != nil {
			continue
		}
		timed, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := client.Suspect(timed, &wire.SuspectRequest{Pull: true})
		cancel()
		if err == nil {
			answered = true
			_ = r.send(ctx, suspecter.SuspectsReceived{Table: messenger.DecodeSuspects(reply.GetSuspicions())})
		}
	}
	return answered
}
