package relayer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/kingcupstile/kingcupstile/coordination/composer"
	"github.com/kingcupstile/kingcupstile/coordination/limiter"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/coordination/suspecter"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies a failed call of another entry.
type Kind string

// KindUnknown says that an entry is not in the VM list.
const KindUnknown Kind = "unknown"

// Error is a failed call of another entry.
type Error = fault.Error[Kind]

const (
	// callTimeout is how long an entry may take to answer.
	callTimeout = 300 * time.Millisecond
	// suspectTick and limitTick are how often suspects are spread, and shares renewed.
	suspectTick = 250 * time.Millisecond
	limitTick   = time.Second
	// loadEvery is how often suspects are read from the platform.
	loadEvery = time.Minute
	// loadRetry is how long after a failed first read another one is made.
	loadRetry = 5 * time.Second
	// storeTimeout is how long saving suspects may take.
	storeTimeout = 5 * time.Second
	// pulls is how many entries are asked for suspects at the start.
	pulls = 3
)

// Lookup returns the IP address and port at which an entry serves others.
type Lookup func(entry string) (string, bool)

// Relayer connects an entry's control state with the other entries and the platform.
type Relayer struct {
	self     string
	snapshot func() composer.State
	send     func(context.Context, composer.Event) error
	lookup   Lookup
	saver    suspecter.Saver
	demands  func(time.Duration) []limiter.Demand
	client   *http.Client
	log      *slog.Logger
	scope    tally.Scope
}

// Option sets a field of a Relayer under construction.
type Option func(*Relayer)

// Saves sets where suspects are kept.
func Saves(s suspecter.Saver) Option { return func(r *Relayer) { r.saver = s } }

// Demands sets what callers want of each limit since a time ago.
func Demands(f func(time.Duration) []limiter.Demand) Option {
	return func(r *Relayer) { r.demands = f }
}

// Log sets the logger.
func Log(l *slog.Logger) Option { return func(r *Relayer) { r.log = l } }

// Metrics sets where metrics are reported.
func Metrics(s tally.Scope) Option { return func(r *Relayer) { r.scope = s } }

// New returns the relayer of the named entry.
func New(self string, snapshot func() composer.State, send func(context.Context, composer.Event) error, lookup Lookup,
	options ...Option,
) *Relayer {
	r := &Relayer{
		self: self, snapshot: snapshot, send: send, lookup: lookup,
		demands: func(time.Duration) []limiter.Demand { return nil },
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}},
		log:     slog.New(slog.DiscardHandler),
		scope:   tally.NoopScope,
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Run keeps time for the control state until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	go r.load(ctx)
	suspects, limits := time.NewTicker(suspectTick), time.NewTicker(limitTick)
	defer suspects.Stop()
	defer limits.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-suspects.C:
			_ = r.send(ctx, suspecter.Tick{At: now, Jitter: rand.Float64()})
		case now := <-limits.C:
			_ = r.send(ctx, limiter.Tick{At: now, Demands: r.demands(limitTick)})
			r.scope.Gauge("suspects").Update(float64(r.snapshot().Suspecter().Table().Len()))
		}
	}
}

// load brings what the platform and some entries know of suspects, at once and then every minute from the platform.
func (r *Relayer) load(ctx context.Context) {
	pulled := false
	for wait := time.Duration(0); pauser.Wait(ctx, wait); {
		if others := r.others(); !pulled && len(others) > 0 {
			pulled = r.pull(ctx, others)
		}
		t, err := r.saver.Load(ctx)
		if err != nil {
			r.log.Warn("suspects cannot be read", "error", err)
			wait = loadRetry
			continue
		}
		_ = r.send(ctx, suspecter.StoredTableRead{Table: t})
		wait = loadEvery - time.Duration(rand.Float64()*float64(loadEvery)/4)
		if !pulled {
			wait = loadRetry
		}
	}
}

// others returns the other entries in random order.
func (r *Relayer) others() []string {
	names := slices.DeleteFunc(slices.Clone(r.snapshot().Entries()), func(name string) bool { return name == r.self })
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// entry returns the client of another entry.
func (r *Relayer) entry(name string) (wire.Entry, error) {
	address, known := r.lookup(name)
	if !known {
		return nil, fault.Newf("find entry", KindUnknown, "%q is not in the VM list", name)
	}
	return wire.NewEntryProtobufClient("http://"+address, r.client), nil
}
