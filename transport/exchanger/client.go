package exchanger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/protocol/verifier"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/member"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

const (
	connectTimeout = time.Second
	idleTimeout    = 30 * time.Second
)

// Client calls other entries; it implements the root package's Peers and StatusReader. Every failure is an Error of
// KindUnavailable.
type Client struct {
	http    *http.Client
	clients sync.Map
}

// New returns a client, which opens connections when they are first needed.
func New() *Client {
	return &Client{http: &http.Client{Transport: verifier.New(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})}}
}

// Exchange sends a heartbeat and returns the peer's own.
func (c *Client) Exchange(ctx context.Context, address string, b member.Heartbeat) (member.Heartbeat, error) {
	reply, err := c.peer(address).Exchange(ctx, messenger.EncodeHeartbeat(b))
	if err != nil {
		return member.Heartbeat{}, unavailable("exchange heartbeat", err)
	}
	return messenger.DecodeHeartbeat(reply), nil
}

// Head returns the encoded head of the configuration that the peer holds.
func (c *Client) Head(ctx context.Context, address string) ([]byte, error) {
	reply, err := c.peer(address).Head(ctx, &wire.HeadRequest{})
	if err != nil {
		return nil, unavailable("fetch head", err)
	}
	return reply.GetHead(), nil
}

// Parts returns the encoded parts of the configuration by name; parts that the peer does not have are left out.
func (c *Client) Parts(ctx context.Context, address string, names []string) (map[string][]byte, error) {
	reply, err := c.peer(address).Parts(ctx, &wire.PartsRequest{Names: names})
	if err != nil {
		return nil, unavailable("fetch parts", err)
	}
	return reply.GetValues(), nil
}

// Roster returns the changes to the peer's VM list since the version after.
func (c *Client) Roster(ctx context.Context, address string, after uint64) (roster.Change, error) {
	reply, err := c.peer(address).Roster(ctx, &wire.RosterRequest{After: after})
	if err != nil {
		return roster.Change{}, unavailable("fetch VM list", err)
	}
	return messenger.DecodeRosterChange(reply), nil
}

// Status returns the state that the peer reports to operators.
func (c *Client) Status(ctx context.Context, address string) (member.Status, error) {
	reply, err := c.peer(address).State(ctx, &wire.StateRequest{})
	if err != nil {
		return member.Status{}, unavailable("read state", err)
	}
	return messenger.DecodeEntryState(reply), nil
}

// Close closes idle connections; the client can still be used.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// peer returns the twirp client of the entry at an address, which is made once and kept.
func (c *Client) peer(address string) wire.Peer {
	if known, ok := c.clients.Load(address); ok {
		return known.(wire.Peer)
	}
	known, _ := c.clients.LoadOrStore(address, wire.NewPeerProtobufClient("http://"+address, c.http))
	return known.(wire.Peer)
}

func unavailable(op string, err error) error { return fault.New(op, kingcupstile.KindUnavailable, err) }
