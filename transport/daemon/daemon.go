package daemon

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kingcupstile/kingcupstile/protocol/parser"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/meter"
)

// Kind classifies why a daemon could not run.
type Kind string

// The kinds of failure.
const (
	KindListen Kind = "listen"
	KindRole   Kind = "role"
	KindCut    Kind = "cut"
)

// Error is a daemon that could not run, or could not end without cutting a request.
type Error = fault.Error[Kind]

// headerTimeout is how long a client may take to send a request's headers.
const headerTimeout = 10 * time.Second

const incarnationLength = 13

// Daemon runs one role.
type Daemon struct {
	settings  parser.Settings
	log       *slog.Logger
	linger    time.Duration
	ready     func(Addresses)
	listeners map[string]net.Listener
}

// Option sets a field of a Daemon under construction.
type Option func(*Daemon)

// Log sets the logger.
func Log(l *slog.Logger) Option { return func(d *Daemon) { d.log = l } }

// Linger sets how long a leaving entry goes on taking requests from callers whose list of entries is old.
func Linger(t time.Duration) Option { return func(d *Daemon) { d.linger = t } }

// Addresses are the IP addresses and ports that a daemon listens on, empty where it does not.
type Addresses struct {
	Callers string
	Peers   string
	Page    string
}

// Ready sets what is called when the daemon listens.
func Ready(f func(Addresses)) Option { return func(d *Daemon) { d.ready = f } }

// New returns a daemon with the given settings.
func New(s parser.Settings, options ...Option) *Daemon {
	d := &Daemon{
		settings:  s,
		log:       slog.New(slog.DiscardHandler),
		linger:    -1,
		ready:     func(Addresses) {},
		listeners: map[string]net.Listener{},
	}
	for _, option := range options {
		option(d)
	}
	d.log = d.log.With("vm", s.Name, "role", s.Role)
	return d
}

// Run serves until stop ends, then leaves without cutting a request in progress; when kill ends, or the
// settings' grace has passed, it ends at once with an Error of KindCut if requests were in progress.
func (d *Daemon) Run(stop, kill context.Context) error {
	if err := d.listen(stop); err != nil {
		return err
	}
	switch d.settings.Role {
	case "entry":
		return d.runEntry(stop, kill)
	case "endpoint":
		return d.runEndpoint(stop, kill)
	}
	return fault.Newf("run daemon", KindRole, "%q", d.settings.Role)
}

func (d *Daemon) listen(ctx context.Context) error {
	wanted := map[string]string{"peers": d.settings.Peers, "callers": d.settings.Callers, "page": d.settings.Page}
	for what, address := range wanted {
		if address == "" {
			continue
		}
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			for _, open := range d.listeners {
				_ = open.Close()
			}
			return fault.New("run daemon", KindListen, err)
		}
		d.listeners[what] = l
	}
	return nil
}

// serve serves a handler on one of the daemon's listeners, if it has it.
func (d *Daemon) serve(what string, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}
	if l, ok := d.listeners[what]; ok {
		go func() { _ = server.Serve(l) }()
	}
	return server
}

func (d *Daemon) addresses() Addresses {
	address := func(what string) string {
		if l, ok := d.listeners[what]; ok {
			return l.Addr().String()
		}
		return ""
	}
	return Addresses{Callers: address("callers"), Peers: address("peers"), Page: address("page")}
}

// page serves metrics.
func (d *Daemon) page(m *meter.Meter) *http.Server {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(m))
	e.GET("/health", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	return d.serve("page", e)
}

// leave returns a context for leaving that ends when kill ends or the grace has passed.
func (d *Daemon) leave(kill context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(kill, d.settings.Grace)
}

func newIncarnation() attempt.Incarnation {
	return attempt.Incarnation(strings.ToLower(rand.Text()[:incarnationLength]))
}
