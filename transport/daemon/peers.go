package daemon

import (
	"context"
	"net/http"

	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/coordination/limiter"
	"github.com/kingcupstile/kingcupstile/coordination/suspecter"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/state/roster"
	"github.com/kingcupstile/kingcupstile/transport/exchanger"
	"github.com/kingcupstile/kingcupstile/transport/relayer"
)

// director returns what the entry knows of configuration, VMs and endpoints.
func (e *entry) director() director.State { return e.loop.Snapshot().Director() }

// limiter returns what keeps accounts within their limits.
func (e *entry) limiter() *limiter.Limiter {
	return limiter.NewLimiter(
		func() limiter.State { return e.loop.Snapshot().Limiter() },
		func(ctx context.Context, event limiter.Event) error { return e.loop.Send(ctx, event) },
	)
}

// suspecter returns what remembers the requests under which an endpoint died.
func (e *entry) suspecter() *suspecter.Suspecter {
	return suspecter.NewSuspecter(
		func() suspecter.State { return e.loop.Snapshot().Suspecter() },
		func(ctx context.Context, event suspecter.Event) error { return e.loop.Send(ctx, event) },
	)
}

// relayer returns what connects the entry with the others.
func (e *entry) relayer(limits *limiter.Limiter) *relayer.Relayer {
	return relayer.New(e.daemon.settings.Name, e.loop.Snapshot, e.loop.Send, e.lookupEntry,
		relayer.Saves(suspecter.NewSaver(e.store, translator.SuspectCodec{})),
		relayer.Demands(limits.CollectDemands),
		relayer.Log(e.daemon.log),
		relayer.Metrics(e.scope),
	)
}

// lookupEntry finds the address at which an entry serves other daemons.
func (e *entry) lookupEntry(name string) (string, bool) {
	vm, ok := e.director().Roster().VM(name)
	return vm.PeerAddress(), ok && vm.Role() == roster.RoleEntry
}

// peers returns the routes for other daemons.
func (e *entry) peers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.EntryPathPrefix, e.relay.Handler())
	mux.Handle(wire.PeerPathPrefix, exchanger.Handler(e.carrier, e.standing))
	return mux
}
