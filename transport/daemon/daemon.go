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

// Kind classifies why a daemon could not run or not end cleanly.
type Kind string

// KindListen says that an address can't be listened on, KindRole that the role in the settings is unknown, and KindCut
// that the daemon ended before its requests in flight did.
const (
	KindListen Kind = "listen"
	KindRole   Kind = "role"
	KindCut    Kind = "cut"
)

// Error reports why a daemon could not run, or could not end without cutting a request.
type Error = fault.Error[Kind]

// headerTimeout bounds the reading of a request's headers.
const headerTimeout = 10 * time.Second

// incarnationLength is the number of random characters in the identifier of one run of an endpoint daemon.
const incarnationLength = 13

// Daemon is one process in one role.
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

// Linger sets how long a leaving entry still accepts requests, from callers whose list of entries is out of date. It is
// lister.Lifetime by default, or half of the grace period if that is less.
func Linger(t time.Duration) Option { return func(d *Daemon) { d.linger = t } }

// Addresses are the IP addresses and ports that a daemon listens on: for callers, for other daemons and for its page of
// metrics; each is empty if the daemon does not listen for that.
type Addresses struct {
	Callers string
	Peers   string
	Page    string
}

// Ready sets a function that is called once the daemon serves.
func Ready(f func(Addresses)) Option { return func(d *Daemon) { d.ready = f } }

// New returns a daemon with the given settings; it does nothing until Run is called.
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

// Run serves until stop ends, and then drains: it returns nil once all requests in flight have ended, or an Error of
// KindCut if kill ends or the settings' grace period passes before that.
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
	return fault.Newf("run daemon", KindRole, "role %q is neither entry nor endpoint", d.settings.Role)
}

// listen opens a listener for each address in the settings, or closes those that it opened and returns an Error of
// KindListen.
func (d *Daemon) listen(ctx context.Context) error {
	wanted := map[string]string{"peers": d.settings.Peers, "callers": d.settings.Callers, "page": d.settings.MetricsAddress}
	for name, address := range wanted {
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
		d.listeners[name] = l
	}
	return nil
}

// serve starts a server of handler on the named listener and returns it; without that listener nothing is served.
func (d *Daemon) serve(name string, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}
	if l, ok := d.listeners[name]; ok {
		go func() { _ = server.Serve(l) }()
	}
	return server
}

func (d *Daemon) addresses() Addresses {
	address := func(name string) string {
		if l, ok := d.listeners[name]; ok {
			return l.Addr().String()
		}
		return ""
	}
	return Addresses{Callers: address("callers"), Peers: address("peers"), Page: address("page")}
}

// servePage serves metrics and a health check on the listener of the page.
func (d *Daemon) servePage(m *meter.Meter) *http.Server {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(m))
	e.GET("/health", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	return d.serve("page", e)
}

// drainContext returns a context that ends when kill ends or the grace period has passed since the call.
func (d *Daemon) drainContext(kill context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(kill, d.settings.Grace)
}

// newIncarnation returns a random identifier for one run of an endpoint daemon.
func newIncarnation() attempt.Incarnation {
	return attempt.Incarnation(strings.ToLower(rand.Text()[:incarnationLength]))
}
