package verifier

import (
	"context"
	"net"
	"net/http"

	"github.com/kingcupstile/kingcupstile/protocol/examiner"
)

// Verifier carries out requests of an HTTP client; it implements http.RoundTripper.
type Verifier struct{ transport *http.Transport }

// New returns a verifier that sends requests with a transport, whose connections it wraps.
func New(t *http.Transport) *Verifier {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Wrap(c), nil
	}
	return &Verifier{transport: t}
}

// RoundTrip sends a request and returns the head of its answer, whose body then ends with io.EOF only if it is whole. If what arrives is no
// final answer of HTTP/1, it returns an Error of this package or of examiner, and the connection is closed.
func (v *Verifier) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := v.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := examiner.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	Trailers(response)
	return response, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (v *Verifier) CloseIdleConnections() { v.transport.CloseIdleConnections() }
