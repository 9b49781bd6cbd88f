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
	"github.com/kingcupstile/kingcupstile/protocol/verifier"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies a failed call to another entry.
type Kind string

// KindUnknown says that an entry is not in the VM list.
const KindUnknown Kind = "unknown"

// Error is a failed call to another entry.
type Error = fault.Error[Kind]

const (
	// callTimeout bounds a call to another entry; a call that may be forwarded gets twice as long, one for shares half.
	callTimeout = 300 * time.Millisecond
	// suspectInterval is the time between two ticks that spread suspects, limitInterval between two that renew shares.
	suspectInterval = 250 * time.Millisecond
	limitInterval   = time.Second
	// loadInterval is the longest time between two reads of suspects from the platform; up to a quarter is taken off at
	// random.
	loadInterval = time.Minute
	// loadRetryDelay is the wait after a failed read, and after every read until another entry has answered a pull.
	loadRetryDelay = 5 * time.Second
	// storeTimeout bounds the saving of suspects on the platform.
	storeTimeout = 5 * time.Second
	// maxPulls is how many other entries are asked for their suspects after a start.
	maxPulls = 3
)

// Lookup returns the IP address and port at which the named entry serves other daemons, and false if it is unknown.
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

// Saver sets what loads suspects from the platform and saves them there; Run needs it.
func Saver(s suspecter.Saver) Option { return func(r *Relayer) { r.saver = s } }

// Demands sets what returns the demand on each limit during the last interval of the given length.
func Demands(f func(time.Duration) []limiter.Demand) Option {
	return func(r *Relayer) { r.demands = f }
}

// Log sets the logger.
func Log(l *slog.Logger) Option { return func(r *Relayer) { r.log = l } }

// Metrics sets where metrics are reported.
func Metrics(s tally.Scope) Option { return func(r *Relayer) { r.scope = s } }

// New returns the relayer of the entry named self; snapshot and send give access to the entry's control state.
func New(self string, snapshot func() composer.State, send func(context.Context, composer.Event) error, lookup Lookup,
	options ...Option,
) *Relayer {
	r := &Relayer{
		self: self, snapshot: snapshot, send: send, lookup: lookup,
		demands: func(time.Duration) []limiter.Demand { return nil },
		client:  &http.Client{Transport: verifier.New(&http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute})},
		log:     slog.New(slog.DiscardHandler),
		scope:   tally.NoopScope,
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Run loads suspects in the background and sends ticks to the control state until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	go r.loadSuspects(ctx)
	suspects, limits := time.NewTicker(suspectInterval), time.NewTicker(limitInterval)
	defer suspects.Stop()
	defer limits.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-suspects.C:
			_ = r.send(ctx, suspecter.Tick{At: now, Jitter: rand.Float64()})
		case now := <-limits.C:
			_ = r.send(ctx, limiter.Tick{At: now, Demands: r.demands(limitInterval)})
			r.scope.Gauge("suspects").Update(float64(r.snapshot().Suspecter().Table().Len()))
		}
	}
}

// loadSuspects sends the suspects of some other entries, until one has answered, and those of the platform, again and
// again, to the control state.
func (r *Relayer) loadSuspects(ctx context.Context) {
	pulled := false
	for wait := time.Duration(0); pauser.Wait(ctx, wait); {
		if others := r.otherEntries(); !pulled && len(others) > 0 {
			pulled = r.pullSuspects(ctx, others)
		}
		t, err := r.saver.Load(ctx)
		if err != nil {
			r.log.Warn("suspects not read from the platform; retrying in 5 s", "error", err)
			wait = loadRetryDelay
			continue
		}
		_ = r.send(ctx, suspecter.StoredTableRead{Table: t})
		wait = loadInterval - time.Duration(rand.Float64()*float64(loadInterval)/4)
		if !pulled {
			wait = loadRetryDelay
		}
	}
}

// otherEntries returns the other entries in random order.
func (r *Relayer) otherEntries() []string {
	names := slices.DeleteFunc(slices.Clone(r.snapshot().Entries()), func(name string) bool { return name == r.self })
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// entryClient returns the twirp client of another entry, or an Error of KindUnknown.
func (r *Relayer) entryClient(name string) (wire.Entry, error) {
	address, known := r.lookup(name)
	if !known {
		return nil, fault.Newf("find entry", KindUnknown, "entry %q is not in the VM list", name)
	}
	return wire.NewEntryProtobufClient("http://"+address, r.client), nil
}
