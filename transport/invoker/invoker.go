package invoker

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/protocol/splitter"
	"github.com/kingcupstile/kingcupstile/protocol/verifier"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why a call gave no complete answer.
type Kind string

// The kinds of failure.
const (
	// KindNoResponse says that a connection was opened but that no response head arrived on it.
	KindNoResponse Kind = "unreachable"
	// KindCut says that reading the answer failed: it broke off, paused for too long or held an event
	// over splitter.MaxEventBytes.
	KindCut Kind = "cut"
	// KindInvalid says that no HTTP request can be made of the attempt.
	KindInvalid Kind = "invalid"
)

// Error is a call that gave no complete answer.
type Error = fault.Error[Kind]

// DefaultIdleTimeout is how long an answer may pause after its head unless an option says otherwise.
const DefaultIdleTimeout = 10 * time.Second

// DefaultConnectTimeout is how long opening a connection may take unless an option says otherwise.
const DefaultConnectTimeout = time.Second

// chunkSize is the largest frame, in bytes, of an answer that is not an event stream.
const chunkSize = 32 << 10

// Invoker implements kingcupstile.Engine for a runner at an IP address and port.
type Invoker struct {
	baseURL        string
	idleTimeout    time.Duration
	connectTimeout time.Duration
	client         *http.Client
}

// Option sets a field of an Invoker under construction.
type Option func(*Invoker)

// IdleTimeout sets how long an answer may pause after its head.
func IdleTimeout(d time.Duration) Option { return func(i *Invoker) { i.idleTimeout = d } }

// New returns the invoker of the runner at address.
func New(address string, options ...Option) *Invoker {
	i := &Invoker{baseURL: "http://" + address, idleTimeout: DefaultIdleTimeout, connectTimeout: DefaultConnectTimeout}
	for _, option := range options {
		option(i)
	}
	dial := (&net.Dialer{Timeout: i.connectTimeout}).DialContext
	// A second answer that comes late would be taken for the next one on a connection that is used again.
	i.client = newClient(&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true})
	return i
}

// newClient returns a client that does not follow redirects, so that the caller gets them.
func newClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     verifier.New(t),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run streams the answer's frames to emit in order, or returns an Error that says why the answer is incomplete;
// a kingcupstile.Error of KindUnavailable says that nothing of the call was written.
func (i *Invoker) Run(ctx context.Context, a attempt.Attempt, emit func(attempt.Frame)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, a.Method(), i.baseURL+a.Path(), singleUse(a.Body()))
	if err != nil {
		return fault.New("invoke", KindInvalid, err)
	}
	request.ContentLength = int64(len(a.Body()))
	for name, values := range a.Header() {
		request.Header[name] = values
	}
	response, err := i.client.Do(request)
	switch {
	case err != nil && !connected.Load():
		return fault.New("invoke", kingcupstile.KindUnavailable, err)
	case err != nil:
		return fault.New("invoke", KindNoResponse, err)
	}
	defer func() { _ = response.Body.Close() }()
	emit(attempt.NewFrame(0, attempt.Status(response.StatusCode, response.Header)))
	body := idleTimeoutReader{Reader: response.Body, timer: time.AfterFunc(i.idleTimeout, cancel), timeout: i.idleTimeout}
	defer body.timer.Stop()
	if media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type")); media == "text/event-stream" {
		return emitEvents(body, emit)
	}
	return emitChunks(body, emit)
}

// idleTimeoutReader reads an answer whose timer cancels the call when the answer pauses for too long.
type idleTimeoutReader struct {
	io.Reader
	timer   *time.Timer
	timeout time.Duration
}

func (w idleTimeoutReader) Read(p []byte) (int, error) {
	n, err := w.Reader.Read(p)
	w.timer.Reset(w.timeout)
	return n, err
}

// singleUse returns a body that the HTTP client cannot rewind, so that it never sends the call twice.
func singleUse(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return io.MultiReader(bytes.NewReader(body))
}

// emitEvents emits each server-sent event as a frame.
func emitEvents(stream io.Reader, emit func(attempt.Frame)) error {
	s := splitter.New(stream)
	for {
		event, err := s.Next()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fault.New("read events", KindCut, err)
		}
		emit(attempt.NewFrame(0, attempt.Data(event)))
	}
}

// emitChunks emits each read of at most chunkSize bytes as a frame.
func emitChunks(stream io.Reader, emit func(attempt.Frame)) error {
	for {
		b := make([]byte, chunkSize)
		n, err := stream.Read(b)
		if n > 0 {
			emit(attempt.NewFrame(0, attempt.Data(b[:n])))
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fault.New("read answer", KindCut, err)
		}
	}
}
