package dialer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/protocol/verifier"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// The HTTP paths on which an endpoint process serves streams of frames.
const (
	PathRun    = "/run"
	PathResume = "/resume"
)

// HeaderIncarnation names the incarnation that a request is for; any other one refuses it before its body is sent.
const HeaderIncarnation = "Kingcup-Incarnation"

// DefaultReceiveTimeout is how long a stream may deliver nothing, and how long a call may take, unless an option says
// otherwise.
const DefaultReceiveTimeout = 2 * time.Second

// DefaultConnectTimeout is how long opening a connection may take unless an option says otherwise.
const DefaultConnectTimeout = time.Second

// Lookup returns the IP address and port of the named endpoint's process.
type Lookup func(endpoint string) (string, bool)

// Dialer implements kingcupstile.Link over HTTP.
type Dialer struct {
	lookup         Lookup
	streams        *http.Client
	calls          *http.Client
	receiveTimeout time.Duration
	connectTimeout time.Duration
}

// Option sets a field of a Dialer under construction.
type Option func(*Dialer)

// ReceiveTimeout sets how long a stream may deliver nothing before it is closed, and how long a call may take.
func ReceiveTimeout(d time.Duration) Option {
	return func(dialer *Dialer) { dialer.receiveTimeout = d }
}

// ConnectTimeout sets how long opening a connection may take.
func ConnectTimeout(d time.Duration) Option {
	return func(dialer *Dialer) { dialer.connectTimeout = d }
}

// New returns a dialer that gets the addresses of endpoints from lookup.
func New(lookup Lookup, options ...Option) *Dialer {
	d := &Dialer{lookup: lookup, receiveTimeout: DefaultReceiveTimeout, connectTimeout: DefaultConnectTimeout}
	for _, option := range options {
		option(d)
	}
	d.streams, d.calls = d.newClient(), d.newClient()
	return d
}

func (d *Dialer) newClient() *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: verifier.New(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: d.connectTimeout}).DialContext,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
			// With "Expect: 100-continue" the body is not sent before the endpoint answers; open's watchdog ends the wait.
			ExpectContinueTimeout: time.Hour,
			DisableCompression:    true,
		}),
	}
}

// Run sends an attempt; an Error of KindUnavailable means that nothing of it was written.
func (d *Dialer) Run(ctx context.Context, a attempt.Attempt) (kingcupstile.FrameReader, error) {
	return d.open(ctx, PathRun, a, messenger.EncodeAttempt(a), !a.IsRepeatable())
}

// Resume follows an attempt's answer from the frame at offset on.
func (d *Dialer) Resume(ctx context.Context, a attempt.Attempt, offset uint64) (kingcupstile.FrameReader, error) {
	m := &wire.Resume{Attempt: messenger.EncodeAttemptMetadata(a), Offset: offset}
	return d.open(ctx, PathResume, a, m, false)
}

// Settle asks the attempt's incarnation never to start it, and returns the outcome that is certain after that;
// without a reply the outcome is unknown, with an Error of KindUncertain or KindUnavailable.
func (d *Dialer) Settle(ctx context.Context, a attempt.Attempt) (attempt.Outcome, error) {
	ctx, end := d.callContext(ctx)
	defer end()
	client, err := d.endpointClient(a.Endpoint())
	if err != nil {
		return attempt.OutcomeUnknown, err
	}
	reply, err := client.Settle(ctx, &wire.SettleRequest{Attempt: messenger.EncodeAttemptMetadata(a)})
	if err != nil {
		return attempt.OutcomeUnknown, fault.New("settle", kingcupstile.KindUncertain, err)
	}
	return attempt.Outcome(reply.GetOutcome()), nil
}

// Report asks the named endpoint for its state, or returns an Error of KindUnavailable.
func (d *Dialer) Report(ctx context.Context, endpoint string) (*wire.ReportReply, error) {
	ctx, end := d.callContext(ctx)
	defer end()
	client, err := d.endpointClient(endpoint)
	if err != nil {
		return nil, err
	}
	reply, err := client.Report(ctx, &wire.ReportRequest{})
	if err != nil {
		return nil, fault.New("report", kingcupstile.KindUnavailable, err)
	}
	return reply, nil
}

func (d *Dialer) endpointClient(name string) (wire.Endpoint, error) {
	address, ok := d.lookup(name)
	if !ok {
		return nil, fault.Newf("find endpoint", kingcupstile.KindUnavailable, "endpoint %q is not in the VM list", name)
	}
	return wire.NewEndpointProtobufClient("http://"+address, d.calls), nil
}

// callContext returns the context of a call, with the receive timeout, and the function that ends it; after a timeout
// on a reused connection that function also closes the idle connections.
func (d *Dialer) callContext(ctx context.Context) (context.Context, func()) {
	ctx, reused := withReuseTrace(ctx)
	ctx, cancel := context.WithTimeout(ctx, d.receiveTimeout)
	return ctx, func() {
		if ctx.Err() != nil && reused.Load() {
			d.calls.CloseIdleConnections()
		}
		cancel()
	}
}

// withReuseTrace returns a context that records whether the request got a reused connection. When a reused connection
// goes silent, the other idle ones are not trusted either; a time-out on a new connection says nothing about them.
func withReuseTrace(ctx context.Context) (context.Context, *atomic.Bool) {
	reused := &atomic.Bool{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) },
	}), reused
}

// open sends a message and returns the stream that answers it. With probe, the message is written only after the
// endpoint has answered "100 Continue" on the connection, so that nothing is written to a connection that is dead.
func (d *Dialer) open(ctx context.Context, path string, a attempt.Attempt, m proto.Message, probe bool) (kingcupstile.FrameReader, error) {
	address, ok := d.lookup(a.Endpoint())
	if !ok {
		return nil, fault.Newf("open stream", kingcupstile.KindUnavailable, "endpoint %q is not in the VM list", a.Endpoint())
	}
	var buffer bytes.Buffer
	if err := messenger.Write(&buffer, m); err != nil {
		return nil, fault.New("open stream", kingcupstile.KindInvalid, err)
	}
	content := newBody(&buffer)
	ctx, reused := withReuseTrace(ctx)
	ctx, cancel := context.WithCancel(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, content)
	if err != nil {
		cancel()
		return nil, fault.New("open stream", kingcupstile.KindInvalid, err)
	}
	request.ContentLength = int64(buffer.Len())
	if probe {
		request.Header.Set("Expect", "100-continue")
	}
	if probe && a.Key() == "" {
		request.Header.Set(HeaderIncarnation, string(a.Incarnation()))
	}
	watchdog := time.AfterFunc(d.receiveTimeout, func() {
		cancel()
		if reused.Load() {
			d.streams.CloseIdleConnections()
		}
	})
	response, err := d.streams.Do(request)
	if err == nil && response.StatusCode == http.StatusOK {
		reused.Store(true)
		return newReader(a.ID(), response.Body, watchdog, d.receiveTimeout, cancel), nil
	}
	watchdog.Stop()
	cancel()
	if err == nil {
		_ = response.Body.Close()
		err = errors.Newf("the endpoint process answered with status %s", response.Status)
	}
	if content.closeUnread() {
		return nil, fault.New("open stream", kingcupstile.KindUnavailable, err)
	}
	return nil, fault.New("open stream", kingcupstile.KindUncertain, err)
}
