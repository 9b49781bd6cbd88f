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
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

const (
	// dialTimeout bounds how long a connection to another process may take: a round trip is a few milliseconds.
	dialTimeout = 200 * time.Millisecond
	// besideTimeout bounds a call to the process beside a rank; the rest of a call's time is for the rank itself.
	besideTimeout = 120 * time.Millisecond
	// idleTime is how long a connection is kept between two looks.
	idleTime = 10 * time.Second
)

// Client reaches a rank through the process beside it, and the rank itself when that process does not answer.
type Client struct {
	http   *http.Client
	beside wire.Rank
	direct kingcupstile.Worker
	sent   *layouts
}

// New returns a client of the rank whose process is at an IP address and port.
func New(address string, direct kingcupstile.Worker) *Client {
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTime,
		DisableCompression: true,
	}}
	return &Client{http: client, beside: wire.NewRankProtobufClient("http://"+address, client), direct: direct, sent: newLayouts()}
}

// Report returns what the rank says of itself.
func (c *Client) Report(ctx context.Context) (rank.Report, error) {
	call, cancel := context.WithTimeout(ctx, besideTimeout)
	defer cancel()
	m, err := c.beside.Report(call, &wire.RankRequest{})
	if err == nil {
		return messenger.DecodeReport(m), nil
	}
	if c.isSilent(err) {
		return c.direct.Report(ctx)
	}
	return rank.Report{}, decoded("report", err)
}

// Counts returns how often the rank's requests chose each expert; they are asked for on the rank's own VM only.
func (c *Client) Counts(ctx context.Context) (rank.Counts, error) {
	m, err := c.beside.Counts(ctx, &wire.RankRequest{})
	if err != nil {
		c.isSilent(err)
		return rank.Counts{}, decoded("count", err)
	}
	return rank.Counts{Epoch: m.GetEpoch(), Step: m.GetStep(), Counts: m.GetCounts()}, nil
}

// Holdings returns which experts the rank holds in the map in use and in the one that it has prepared.
func (c *Client) Holdings(ctx context.Context) (rank.Holdings, error) {
	call, cancel := context.WithTimeout(ctx, besideTimeout)
	defer cancel()
	m, err := c.beside.Holdings(call, &wire.RankRequest{})
	if err == nil {
		return messenger.DecodeHoldings(m), nil
	}
	if c.isSilent(err) {
		return c.direct.Holdings(ctx)
	}
	return rank.Holdings{}, decoded("holdings", err)
}

// Execute gives an order and sees to it; one that both the process and the rank may have got is carried out once, as it
// names the number of orders before it.
func (c *Client) Execute(ctx context.Context, o rank.Order) (rank.OrderResult, error) {
	m, err := c.carry(ctx, o)
	if err == nil {
		carried := rank.OrderResult{Report: messenger.DecodeReport(m.GetReport()), VerifiedVersion: m.GetWhole()}
		if m.GetFailure() != "" {
			carried.Err = fault.New[kingcupstile.Kind]("give order", kingcupstile.Kind(m.GetFailure()), nil)
		}
		return carried, nil
	}
	if c.isSilent(err) {
		return executor.Execute(ctx, c.direct, o)
	}
	return rank.OrderResult{}, decoded("give order", err)
}

// ExecuteDirect gives an order to the rank itself, and asks the process beside it what came of that: what the rank reports to
// other VMs is some hundred milliseconds old.
func (c *Client) ExecuteDirect(ctx context.Context, o rank.Order) (rank.OrderResult, error) {
	call, cancel := context.WithTimeout(ctx, besideTimeout)
	defer cancel()
	given := c.direct.SendOrder(call, o)
	r, err := c.Report(ctx)
	return rank.OrderResult{Report: r, Err: given}, err
}

// carry sends an order to the process beside the rank: a map as changes of the one before, or whole if that is unknown.
func (c *Client) carry(ctx context.Context, o rank.Order) (*wire.RankReply, error) {
	timeout := besideTimeout
	if o.Verb == rank.VerbPrepare {
		timeout = executor.CopyTimeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	m := messenger.EncodeOrder(o)
	if o.Verb != rank.VerbPrepare {
		return c.beside.Give(call, m)
	}
	version, layout, known := c.sent.last(o.Epoch)
	c.sent.put(o.Epoch, o.Version, o.Layout)
	if known && version != o.Version {
		short := messenger.EncodeOrder(rank.Order{Verb: o.Verb, Epoch: o.Epoch, ExpectedOrderCount: o.ExpectedOrderCount, Version: o.Version})
		short.Base, short.Changes = version, messenger.EncodeChanges(o.Layout.Changes(layout), len(layout[0]))
		reply, err := c.beside.Give(call, short)
		if code(err) != twirp.NotFound {
			return reply, err
		}
	}
	return c.beside.Give(call, m)
}

// isSilent reports whether the process beside the rank gave no answer of its own, and drops connections to it then.
func (c *Client) isSilent(err error) bool {
	if c := code(err); c != "" && c != twirp.Internal && c != twirp.Unknown {
		return false
	}
	c.http.CloseIdleConnections()
	return true
}

// code returns the code of another process's answer, empty if there was none.
func code(err error) twirp.ErrorCode {
	var answered twirp.Error
	if errors.As(err, &answered) {
		return answered.Code()
	}
	return ""
}

// decoded returns the failure that another process told of.
func decoded(op string, err error) error {
	kind, got := kingcupstile.KindUnavailable, code(err)
	for k, c := range codes {
		if c == got {
			kind = k
		}
	}
	return fault.New(op, kind, err)
}
