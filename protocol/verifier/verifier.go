package verifier

import (
	"context"
	"net"
	"net/http"
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

// RoundTrip sends a request and returns the head of its answer, whose body then ends with io.EOF only if it is whole.
func (v *Verifier) RoundTrip(r *http.Request) (*http.Response, error) {
	return v.transport.RoundTrip(r)
}

// CloseIdleConnections closes the connections that no request uses.
func (v *Verifier) CloseIdleConnections() { v.transport.CloseIdleConnections() }
