package ranker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/executor"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/protocol/verifier"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

const (
	// dialTimeout bounds the opening of a connection to another process; a round trip takes a few milliseconds.
	dialTimeout = 200 * time.Millisecond
	// defaultTimeout bounds a call to a sidecar, save for counts and for an order to prepare a map, unless an option says
	// otherwise; the rest of the caller's timeout is for the call to the rank itself.
	defaultTimeout = 120 * time.Millisecond
	// idleTimeout is how long a connection is kept open between two calls.
	idleTimeout = 10 * time.Second
)

// Client calls a rank through its sidecar, and falls back to the rank itself when the sidecar does not answer.
type Client struct {
	http    *http.Client
	sidecar wire.Rank
	direct  kingcupstile.Worker
	timeout time.Duration
}

// New returns a client of the rank whose sidecar is at an IP address and port; direct calls the rank itself. A call to the
// sidecar is bounded by timeout.
func New(address string, direct kingcupstile.Worker, timeout time.Duration) *Client {
	client := &http.Client{Transport: verifier.New(&http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	})}
	return &Client{http: client, sidecar: wire.NewRankProtobufClient("http://"+address, client), direct: direct, timeout: timeout}
}

// Report returns the rank's report of its state.
func (c *Client) Report(ctx context.Context) (rank.Report, error) {
	call, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m, err := c.sidecar.Report(call, &wire.RankRequest{})
	if err == nil {
		return messenger.DecodeReport(m), nil
	}
	if c.isUnanswered(err) {
		return lagged(c.direct.Report(ctx))
	}
	return rank.Report{}, decodeError("report", err)
}

// Holdings returns which experts the rank holds for the map in use and for the map that it has prepared.
func (c *Client) Holdings(ctx context.Context) (rank.Holdings, error) {
	call, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	m, err := c.sidecar.Holdings(call, &wire.RankRequest{})
	if err == nil {
		return messenger.DecodeHoldings(m), nil
	}
	if c.isUnanswered(err) {
		return c.direct.Holdings(ctx)
	}
	return rank.Holdings{}, decodeError("holdings", err)
}

// Execute sends an order to the sidecar, which carries it out on the rank, or to the rank itself if the sidecar does not
// answer. A rank that gets an order both ways carries it out once, as the order names the number of orders before it.
func (c *Client) Execute(ctx context.Context, o rank.Order) (rank.OrderResult, error) {
	m, err := c.sendOrder(ctx, o)
	if err == nil {
		return decodeReply(m), nil
	}
	if c.isUnanswered(err) {
		return c.executeAtRank(ctx, o)
	}
	return rank.OrderResult{}, decodeError("give order", err)
}

// executeAtRank sends an order to the rank itself.
func (c *Client) executeAtRank(ctx context.Context, o rank.Order) (rank.OrderResult, error) {
	carried, err := executor.Execute(ctx, c.direct, o)
	carried.Report, err = lagged(carried.Report, err)
	return carried, err
}

// lagged marks a report that a rank gave to another VM than its own.
func lagged(r rank.Report, err error) (rank.Report, error) {
	r.IsLagged = true
	return r, err
}

// decodeReply returns the result of an order in a sidecar's reply.
func decodeReply(m *wire.RankReply) rank.OrderResult {
	carried := rank.OrderResult{Report: messenger.DecodeReport(m.GetReport()), VerifiedVersion: m.GetWhole()}
	if m.GetFailure() != "" {
		carried.Err = fault.New[kingcupstile.Kind]("give order", kingcupstile.Kind(m.GetFailure()), nil)
	}
	return carried
}

// ExecuteDirect sends an order to the rank itself and reads the result from the sidecar, because the reports that a rank gives
// to other VMs are some hundred milliseconds old.
func (c *Client) ExecuteDirect(ctx context.Context, o rank.Order) (rank.OrderResult, error) {
	call, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	given := c.direct.SendOrder(call, o)
	r, err := c.Report(ctx)
	return rank.OrderResult{Report: r, Err: given}, err
}

// sendOrder sends an order to the sidecar. A map is sent as changes of the one in use, or whole if that is not known here
// or to the sidecar.
func (c *Client) sendOrder(ctx context.Context, o rank.Order) (*wire.RankReply, error) {
	call, cancel := context.WithTimeout(ctx, c.orderTimeout(o.Verb))
	defer cancel()
	if o.Verb == rank.VerbPrepare {
		if m, encoded := messenger.EncodeChangedOrder(o); encoded {
			reply, err := c.sidecar.Give(call, m)
			if codeOf(err) != twirp.NotFound {
				return reply, err
			}
		}
	}
	return c.sidecar.Give(call, messenger.EncodeOrder(o))
}

// orderTimeout bounds the call of a sidecar that carries out an order.
func (c *Client) orderTimeout(verb rank.Verb) time.Duration {
	if verb == rank.VerbPrepare {
		return executor.CopyTimeout
	}
	return c.timeout
}

// isUnanswered reports whether a call failed without an answer of the sidecar itself, and if so drops idle connections.
func (c *Client) isUnanswered(err error) bool {
	if c := codeOf(err); c != "" && c != twirp.Internal && c != twirp.Unknown {
		return false
	}
	c.http.CloseIdleConnections()
	return true
}

// codeOf returns the twirp code of an error, empty if it has none.
func codeOf(err error) twirp.ErrorCode {
	var answered twirp.Error
	if errors.As(err, &answered) {
		return answered.Code()
	}
	return ""
}

// decodeError returns the error that a sidecar answered with; codes without a kind become KindUnavailable.
func decodeError(op string, err error) error {
	kind, got := kingcupstile.KindUnavailable, codeOf(err)
	for k, c := range errorCodes {
		if c == got {
			kind = k
		}
	}
	return fault.New(op, kind, err)
}
