package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/kingcupstile/kingcupstile/coordination/carrier"
	"github.com/kingcupstile/kingcupstile/coordination/claimer"
	"github.com/kingcupstile/kingcupstile/coordination/composer"
	"github.com/kingcupstile/kingcupstile/coordination/counter"
	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/coordination/lister"
	"github.com/kingcupstile/kingcupstile/coordination/looper"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/coordination/spreader"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/dialer"
	"github.com/kingcupstile/kingcupstile/transport/exchanger"
	"github.com/kingcupstile/kingcupstile/transport/fronter"
	"github.com/kingcupstile/kingcupstile/transport/meter"
	"github.com/kingcupstile/kingcupstile/transport/relayer"
	"github.com/kingcupstile/kingcupstile/transport/storer"
)

// tickInterval is the time between two checks for missed heartbeats.
const tickInterval = 500 * time.Millisecond

// entry holds the running parts of an entry daemon.
type entry struct {
	daemon   *Daemon
	loop     *looper.Loop[composer.State, composer.Event, composer.Effect]
	store    *storer.Storer
	dialer   *dialer.Dialer
	inFlight *counter.Counter
	relay    *relayer.Relayer
	scope    tally.Scope
	carrier  *carrier.Carrier
	// watches holds the watch of each polled endpoint by the endpoint's name.
	watches sync.Map
}

// runEntry serves callers until stop ends, and then drains: the other entries are told at once, and requests are
// accepted for some time longer, as callers still hold older lists of entries.
func (d *Daemon) runEntry(stop, kill context.Context) error {
	control, end := context.WithCancel(context.WithoutCancel(stop))
	defer end()
	m := meter.New()
	scope, closer := m.Scope("kingcup")
	defer func() { _ = closer.Close() }()
	e := &entry{daemon: d, store: storer.New(d.settings.Platform), scope: scope}
	e.inFlight = counter.New(counter.OnFailure(e.pollSoon))
	spread := spreader.New(d.settings.Name, d.settings.Centre, time.Now()).WithAddress(d.addresses().Peers)
	e.loop = looper.New(composer.New(d.settings.Name, d.settings.Centre).WithSpreader(spread), composer.Step, e.handle)
	client := exchanger.New()
	defer client.Close()
	watchStore := storer.New(d.settings.Platform, storer.WatchWait(carrier.LongPollDuration))
	e.carrier = carrier.New(spreadLoop{entry: e}, watchStore, client, translator.CatalogCodec{})
	e.dialer = dialer.New(e.endpointAddress)
	limits := e.newLimiter()
	e.relay = e.newRelayer(limits)
	go e.loop.Run(control)
	go e.carrier.Run(control)
	go e.relay.Run(control)
	go e.sendTicks(control)
	go e.decayFailures(control)
	front := fronter.New(e.director, e.dialer,
		fronter.Centre(d.settings.Centre),
		fronter.KeyClaimer(claimer.New(e.store)),
		fronter.InFlight(e.inFlight),
		fronter.Limiter(limits),
		fronter.Suspecter(e.newSuspecter()),
		fronter.Log(d.log),
		fronter.Metrics(scope),
	)
	callers, peers, page := d.serve("callers", front.Handler()), d.serve("peers", e.peerHandler()), d.servePage(m)
	defer func() { _, _, _ = callers.Close(), peers.Close(), page.Close() }()
	d.log.Info("entry serves callers", "callers", d.addresses().Callers, "peers", d.addresses().Peers)
	d.ready(d.addresses())
	<-stop.Done()
	d.log.Info("entry leaves; still accepting requests while it drains")
	leaving, cancel := d.drainContext(kill)
	defer cancel()
	_ = e.loop.Send(leaving, director.Drain{})
	_ = spreadLoop{entry: e}.Send(leaving, spreader.Leave{At: time.Now()})
	linger := d.linger
	if linger < 0 {
		linger = min(lister.Lifetime, d.settings.Grace/2)
	}
	pauser.Wait(leaving, linger)
	if err := callers.Shutdown(leaving); err != nil {
		return fault.New("stop entry before it drained", KindCut, err)
	}
	return nil
}

// endpointAddress returns the address of an endpoint process, and false if the endpoint is unknown.
func (e *entry) endpointAddress(endpoint string) (string, bool) {
	return e.director().Address(endpoint)
}

// sendTicks sends ticks, by which the control goroutine detects missed heartbeats, until ctx ends.
func (e *entry) sendTicks(ctx context.Context) {
	for pauser.Wait(ctx, tickInterval) {
		_ = e.loop.Send(ctx, director.Tick{At: time.Now()})
	}
}
