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

// director returns the current state of the entry with its configuration, VM list and endpoints.
func (e *entry) director() director.State { return e.loop.Snapshot().Director() }

// newLimiter returns the limiter that keeps accounts within their limits, connected with the entry's control state.
func (e *entry) newLimiter() *limiter.Limiter {
	return limiter.NewLimiter(
		func() limiter.State { return e.loop.Snapshot().Limiter() },
		func(ctx context.Context, event limiter.Event) error { return e.loop.Send(ctx, event) },
	)
}

// newSuspecter returns the suspecter, which records requests under which an endpoint crashed, connected with the
// entry's control state.
func (e *entry) newSuspecter() *suspecter.Suspecter {
	return suspecter.NewSuspecter(
		func() suspecter.State { return e.loop.Snapshot().Suspecter() },
		func(ctx context.Context, event suspecter.Event) error { return e.loop.Send(ctx, event) },
	)
}

// newRelayer returns the relayer that exchanges suspects and shares of limits with other entries.
func (e *entry) newRelayer(limits *limiter.Limiter) *relayer.Relayer {
	return relayer.New(e.daemon.settings.Name, e.loop.Snapshot, e.loop.Send, e.entryAddress,
		relayer.Saver(suspecter.NewSaver(e.store, translator.SuspectCodec{})),
		relayer.Demands(limits.CollectDemands),
		relayer.Log(e.daemon.log),
		relayer.Metrics(e.scope),
	)
}

// entryAddress returns the address at which an entry serves other daemons, and false if no entry has that name.
func (e *entry) entryAddress(name string) (string, bool) {
	vm, ok := e.director().Roster().VM(name)
	return vm.PeerAddress(), ok && vm.Role() == roster.RoleEntry
}

// peerHandler returns the routes for other entries and for operators.
func (e *entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.EntryPathPrefix, e.relay.Handler())
	mux.Handle(wire.PeerPathPrefix, exchanger.Handler(e.carrier, e.standing))
	return mux
}
