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

// flat is up to how many entries are told of suspects directly; beyond it some of them tell the rest.
const flat = 32

// Handle carries out an effect of the limiter or the suspecter; it does not block.
func (r *Relayer) Handle(ctx context.Context, effect composer.Effect) {
	switch e := effect.(type) {
	case limiter.RequestShares:
		go r.ask(ctx, e)
	case limiter.SendShares:
		e.Reply <- e.Shares
	case limiter.Release:
		for _, done := range e.Done {
			close(done)
		}
	case suspecter.Broadcast:
		go r.spread(ctx, e)
	case suspecter.Release:
		close(e.Done)
	case suspecter.SaveTable:
		go r.store(ctx, e.Table)
	}
}

// ask sends demands to their home, or to the second one if the first does not answer.
func (r *Relayer) ask(ctx context.Context, e limiter.RequestShares) {
	request := messenger.EncodeDemands(r.self, e.Demands)
	for _, home := range e.Homes {
		if home == r.self {
			r.askSelf(ctx, e.Demands)
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

func (r *Relayer) borrow(ctx context.Context, home string, request *wire.BorrowRequest) (*wire.BorrowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	client, err := r.entry(home)
	if err != nil {
		return nil, err
	}
	return client.Borrow(ctx, request)
}

// askSelf lends to this entry as the second home.
func (r *Relayer) askSelf(ctx context.Context, demands []limiter.Demand) {
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

// spread tells every other entry of suspects and then lets the requests that wait for it go on.
func (r *Relayer) spread(ctx context.Context, e suspecter.Broadcast) {
	defer func() {
		for _, done := range e.Done {
			close(done)
		}
	}()
	messages := messenger.EncodeSuspects(e.Table)
	var group sync.WaitGroup
	for _, part := range divide(r.others()) {
		group.Go(func() { r.tell(ctx, part, messages) })
	}
	group.Wait()
	r.scope.Counter("suspects_spread").Inc(int64(e.Table.Len()))
}

// divide returns the parts of which the first entry that answers tells the others.
func divide(names []string) [][]string {
	size := 1
	if len(names) > flat {
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

// tell tells the first of some entries that answers, which tells those after it.
func (r *Relayer) tell(ctx context.Context, names []string, messages []*wire.Suspicion) {
	for i, name := range names {
		client, err := r.entry(name)
		if err != nil {
			continue
		}
		timed, cancel := context.WithTimeout(ctx, 2*callTimeout)
		_, err = client.Suspect(timed, &wire.SuspectRequest{Suspicions: messages, Forward: names[i+1:]})
		cancel()
		if err == nil {
			return
		}
		r.log.Info("entry was not told of suspects", "entry", name, "error", err)
	}
}

// store saves suspects on the platform.
func (r *Relayer) store(ctx context.Context, t suspect.Table) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := r.saver.Save(ctx, t)
	if err != nil {
		r.log.Warn("suspects cannot be saved", "error", err)
		return
	}
	r.scope.Counter("suspects_saved").Inc(1)
	_ = r.send(ctx, suspecter.StoredTableRead{Table: stored})
}

// pull asks some entries what they know of suspects, and reports whether one answered.
func (r *Relayer) pull(ctx context.Context, names []string) bool {
	answered := false
	for _, name := range names[:min(pulls, len(names))] {
		client, err := r.entry(name)
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
