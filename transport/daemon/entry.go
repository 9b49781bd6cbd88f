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

// tickEvery is how often an entry looks for missed heartbeats.
const tickEvery = 500 * time.Millisecond

// entry is the running parts of an entry daemon.
type entry struct {
	daemon   *Daemon
	loop     *looper.Loop[composer.State, composer.Event, composer.Effect]
	store    *storer.Storer
	dialer   *dialer.Dialer
	inFlight *counter.Counter
	relay    *relayer.Relayer
	scope    tally.Scope
	carrier  *carrier.Carrier
	watching sync.Map
}

// runEntry serves callers.
func (d *Daemon) runEntry(stop, kill context.Context) error {
	control, end := context.WithCancel(context.WithoutCancel(stop))
	defer end()
	m := meter.New()
	scope, closer := m.Scope("kingcup")
	defer func() { _ = closer.Close() }()
	e := &entry{daemon: d, store: storer.New(d.settings.Platform), scope: scope}
	e.inFlight = counter.New(counter.OnFailure(e.wake))
	spread := spreader.New(d.settings.Name, d.settings.Centre, time.Now()).WithAddress(d.addresses().Peers)
	e.loop = looper.New(composer.New(d.settings.Name, d.settings.Centre).WithSpreader(spread), composer.Step, e.handle)
	client := exchanger.New()
	defer client.Close()
	watching := storer.New(d.settings.Platform, storer.Wait(carrier.LongPollDuration))
	e.carrier = carrier.New(spreadLoop{entry: e}, watching, client, translator.CatalogCodec{})
	e.dialer = dialer.New(e.lookup)
	limits := e.limiter()
	e.relay = e.relayer(limits)
	go e.loop.Run(control)
	go e.carrier.Run(control)
	go e.relay.Run(control)
	go e.tick(control)
	go e.fade(control)
	front := fronter.New(e.director, e.dialer,
		fronter.Centre(d.settings.Centre),
		fronter.Claims(claimer.New(e.store)),
		fronter.Counts(e.inFlight),
		fronter.Limits(limits),
		fronter.Suspects(e.suspecter()),
		fronter.Log(d.log),
		fronter.Metrics(scope),
	)
	callers, peers, page := d.serve("callers", front.Handler()), d.serve("peers", e.peers()), d.page(m)
	defer func() { _, _, _ = callers.Close(), peers.Close(), page.Close() }()
	d.log.Info("entry runs", "callers", d.addresses().Callers, "peers", d.addresses().Peers)
	d.ready(d.addresses())
	<-stop.Done()
	d.log.Info("entry leaves")
	leaving, cancel := d.leave(kill)
	defer cancel()
	_ = e.loop.Send(leaving, director.Drain{})
	_ = spreadLoop{entry: e}.Send(leaving, spreader.Leave{At: time.Now()})
	linger := d.linger
	if linger < 0 {
		linger = min(lister.Lifetime, d.settings.Grace/2)
	}
	pauser.Wait(leaving, linger)
	if err := callers.Shutdown(leaving); err != nil {
		return fault.New("stop entry", KindCut, err)
	}
	return nil
}

// lookup finds an endpoint process's address.
func (e *entry) lookup(endpoint string) (string, bool) {
	return e.director().Address(endpoint)
}

// tick lets the control goroutine notice missed heartbeats.
func (e *entry) tick(ctx context.Context) {
	for pauser.Wait(ctx, tickEvery) {
		_ = e.loop.Send(ctx, director.Tick{At: time.Now()})
	}
}
