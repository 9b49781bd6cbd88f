package forwarder

import (
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/pacer"
	"github.com/kingcupstile/kingcupstile/coordination/placer"
	"github.com/kingcupstile/kingcupstile/coordination/retrier"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// Forwarder serves callers.
type Forwarder struct {
	snapshot func() overseer.State
	clock    kingcupstile.Clock
	dialect  kingcupstile.Dialect
	board    *placer.Tracker
	retrier  kingcupstile.Retrier
	share    float64
	log      *slog.Logger
	scope    tally.Scope
	crashed  func(f suspect.Fingerprint, runner string)
	gates    sync.Map
	open     atomic.Int64
	stopping atomic.Bool
}

// Option sets a field of a Forwarder under construction.
type Option func(*Forwarder)

// Log sets the logger.
func Log(l *slog.Logger) Option { return func(f *Forwarder) { f.log = l } }

// Metrics sets where metrics are reported.
func Metrics(s tally.Scope) Option { return func(f *Forwarder) { f.scope = s } }

// Retries sets what bounds retries, and which share of a service's requests they may be.
func Retries(r kingcupstile.Retrier, share float64) Option {
	return func(f *Forwarder) { f.retrier, f.share = r, share }
}

// Board sets where open work is counted.
func Board(b *placer.Tracker) Option { return func(f *Forwarder) { f.board = b } }

// Crashes sets what is told of runners that were lost under a request.
func Crashes(tell func(f suspect.Fingerprint, runner string)) Option {
	return func(f *Forwarder) { f.crashed = tell }
}

// defaultShare is the share of requests that may be retries unless an option says otherwise.
const defaultShare = 0.1

// New returns a forwarder that reads control state from snapshot.
func New(snapshot func() overseer.State, clock kingcupstile.Clock, dialect kingcupstile.Dialect, options ...Option) *Forwarder {
	f := &Forwarder{
		snapshot: snapshot, clock: clock, dialect: dialect, board: placer.NewTracker(), retrier: retrier.New(),
		crashed: func(suspect.Fingerprint, string) {}, share: defaultShare, log: slog.New(slog.DiscardHandler), scope: tally.NoopScope,
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Open returns how many requests are in progress.
func (f *Forwarder) Open() int { return int(f.open.Load()) }

// Refuse makes the forwarder refuse new requests, as the process is about to end.
func (f *Forwarder) Refuse() { f.stopping.Store(true) }

// gate returns a service's gate with bounds that fit what is known now.
func (f *Forwarder) gate(service string, state overseer.State, now time.Duration, gap time.Duration) *pacer.Gate {
	table, _ := state.Table()
	s, _ := table.Service(service)
	bounds := pacer.BoundsFor(s, state.Runners().Of(service), len(state.Heartbeats(now))+1, gap)
	value, found := f.gates.Load(service)
	if !found {
		value, _ = f.gates.LoadOrStore(service, pacer.NewGate(pacer.New(bounds)))
	}
	g := value.(*pacer.Gate)
	g.SetBounds(bounds)
	return g
}

// refusal is an answer of this system's own.
type refusal struct {
	status int
	reason string
	// after is when to come back, 0 if that would not help.
	after time.Duration
	// details are what decided, for the log.
	details []any
}

// refuse answers with a status of this system's own.
func (f *Forwarder) refuse(w http.ResponseWriter, r refusal) {
	h := w.Header()
	if r.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(r.reason)+1))
	w.WriteHeader(r.status)
	if _, err := w.Write([]byte(r.reason + "\n")); err != nil {
		f.log.Debug("caller lost", "error", err)
	}
	f.scope.Tagged(map[string]string{"reason": r.reason, "status": strconv.Itoa(r.status)}).Counter("refused").Inc(1)
}
