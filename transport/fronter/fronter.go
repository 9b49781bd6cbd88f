package fronter

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/binder"
	"github.com/kingcupstile/kingcupstile/coordination/counter"
	"github.com/kingcupstile/kingcupstile/coordination/director"
	"github.com/kingcupstile/kingcupstile/coordination/picker"
	"github.com/kingcupstile/kingcupstile/coordination/retrier"
	"github.com/kingcupstile/kingcupstile/protocol/explainer"
)

// MaxBodyBytes is the largest request body that is accepted.
const MaxBodyBytes = 4 << 20

// The headers that control how a request is run, repeated and logged.
const (
	HeaderKey         = "Idempotency-Key"
	HeaderResume      = "Last-Event-ID"
	HeaderCorrelation = "X-Request-Id"
	// HeaderConversation names requests whose prompts begin alike, so that they are sent to the same endpoint if possible.
	HeaderConversation = "Kingcup-Conversation"
	// HeaderTimeout shortens a request's deadline; its value is a duration like "1.5s".
	HeaderTimeout = "Kingcup-Timeout"
)

// reservedPrefix begins the paths of the entry's own routes, which belong to no service.
const reservedPrefix = "/-"

// identifierLength is in characters of 5 random bits each.
const identifierLength = 16

// Claimer binds callers' own idempotency keys to tickets.
type Claimer interface {
	// Claim returns the ticket that the key is bound to; a key that is bound to none is bound to the proposed one.
	Claim(ctx context.Context, account, service, key string, proposed binder.Ticket) (binder.Ticket, error)
}

// Fronter is the HTTP server that callers connect to.
type Fronter struct {
	centre   string
	snapshot func() director.State
	link     kingcupstile.Link
	claimer  Claimer
	picker   kingcupstile.Picker
	inFlight *counter.Counter
	retrier  kingcupstile.Retrier
	limiter  kingcupstile.Limiter
	suspects kingcupstile.Suspecter
	log      *slog.Logger
	scope    tally.Scope
}

// Option sets a field of a Fronter under construction.
type Option func(*Fronter)

// Centre sets the data centre that the entry is in.
func Centre(name string) Option { return func(f *Fronter) { f.centre = name } }

// KeyClaimer sets what binds callers' own idempotency keys to tickets; without it, requests with such keys are refused.
func KeyClaimer(c Claimer) Option { return func(f *Fronter) { f.claimer = c } }

// Picker sets how endpoints are chosen.
func Picker(p kingcupstile.Picker) Option { return func(f *Fronter) { f.picker = p } }

// InFlight sets the counter of open and failed attempts at each endpoint.
func InFlight(c *counter.Counter) Option { return func(f *Fronter) { f.inFlight = c } }

// Retrier sets what decides whether a request may be sent again.
func Retrier(r kingcupstile.Retrier) Option { return func(f *Fronter) { f.retrier = r } }

// Limiter sets what keeps client accounts within their limits; without it, no limit holds.
func Limiter(l kingcupstile.Limiter) Option { return func(f *Fronter) { f.limiter = l } }

// Suspecter sets what remembers the requests under which an endpoint crashed; without it, none is isolated or refused.
func Suspecter(s kingcupstile.Suspecter) Option { return func(f *Fronter) { f.suspects = s } }

// Log sets the logger.
func Log(l *slog.Logger) Option { return func(f *Fronter) { f.log = l } }

// Metrics sets where metrics are reported.
func Metrics(s tally.Scope) Option { return func(f *Fronter) { f.scope = s } }

// New returns a server that reads control state from snapshot and reaches endpoints over link.
func New(snapshot func() director.State, link kingcupstile.Link, options ...Option) *Fronter {
	f := &Fronter{
		snapshot: snapshot,
		link:     link,
		inFlight: counter.New(),
		retrier:  retrier.New(),
		log:      slog.New(slog.DiscardHandler),
		scope:    tally.NoopScope,
	}
	for _, option := range options {
		option(f)
	}
	if f.picker == nil {
		f.picker = picker.New(f.inFlight)
	}
	return f
}

// Handler returns the routes for callers.
func (f *Fronter) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = f.handleError
	e.Use(f.guard)
	e.GET(reservedPrefix+"/entries", f.entries)
	e.POST(reservedPrefix+"/tickets/:service", f.tickets)
	e.Any("/:service", f.serve)
	e.Any("/:service/*", f.serve)
	return e
}

// newIdentifier returns a random identifier that cannot be guessed.
func newIdentifier() string { return strings.ToLower(rand.Text()[:identifierLength]) }

// fail answers with problem details, and with a Retry-After header if after is positive.
func (f *Fronter) fail(c echo.Context, p explainer.Problem, after time.Duration) error {
	f.scope.Tagged(map[string]string{"outcome": string(p.Outcome), "reason": p.Reason}).Counter("failed").Inc(1)
	h := c.Response().Header()
	h.Set(explainer.HeaderOutcome, string(p.Outcome))
	if after > 0 {
		h.Set("Retry-After", retryAfter(after))
	}
	return c.Blob(p.Status, explainer.ContentType, p.JSON())
}
