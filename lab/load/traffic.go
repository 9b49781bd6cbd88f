package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupstile/kingcupstile/coordination/limiter"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
)

const (
	// A quarter of the size to design for, 1,000 entries, 7,300 accounts and 22,000 requests a second; the load of each
	// entry is the same.
	fullEntries      = 250
	fullAccounts     = 1825
	fullRate         = 5_500.0
	fullDuration     = 60 * time.Second
	fullMeasuredFrom = 40 * time.Second
)

// countingConn is a connection that counts the bytes it reads and writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fakeLender is an entry that answers each call with one share.
type fakeLender struct{ wire.Entry }

// Borrow lends one share, for the first demand of the request.
func (fakeLender) Borrow(_ context.Context, m *wire.BorrowRequest) (*wire.BorrowReply, error) {
	return messenger.EncodeShares([]limiter.Share{{Key: messenger.DecodeDemands(m)[0].Key, Rate: 12.5, TTL: 30 * second}}), nil
}

// callBytes returns the mean bytes of a call on an open connection, both ways, without the message of the request.
func callBytes(ctx context.Context, request *wire.BorrowRequest) (float64, error) {
	server := httptest.NewServer(wire.NewEntryServer(fakeLender{}))
	defer server.Close()
	var bytes atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: c, bytes: &bytes}, err
	}}
	defer transport.CloseIdleConnections()
	client := wire.NewEntryProtobufClient(server.URL, &http.Client{Transport: transport})
	const calls = 100
	for range calls {
		if _, err := client.Borrow(ctx, request); err != nil {
			return 0, err
		}
	}
	return float64(bytes.Load())/calls - float64(proto.Size(request)), nil
}

// traffic shows the control traffic that leasing shares of account limits costs at full size.
func traffic(out io.Writer) error {
	demand := limiter.Demand{Key: limiter.Key{Service: "kingcup-pool", Account: "account-1234"}, Limit: 50, Rate: 3, Held: 12.5}
	request := messenger.EncodeDemands("entry-0123", []limiter.Demand{demand})
	overhead, err := callBytes(context.Background(), request)
	if err != nil {
		return err
	}
	table(out, fmt.Sprintf("Control traffic of account limits at %d entries, %d accounts and %.0f requests a second, seed %d; "+
		"a call costs %.0f bytes",
		fullEntries, fullAccounts, fullRate, seed, overhead+float64(proto.Size(request))),
		"entries that an account's callers use", "calls a second by an entry", "bytes a second of an entry, both ways")
	for _, used := range []int{9, 18} {
		calls, bytes := simulateFullSize(used, overhead)
		// Each call is sent by one entry and received by another.
		row(out, fmt.Sprint(used), fmt.Sprintf("%.1f", calls), fmt.Sprintf("%.0f", 2*bytes))
	}
	return nil
}

// fullSizeSimulation is the limit state of all entries; demand and count are by entry, and calls and bytes are totals.
type fullSizeSimulation struct {
	clock    *clock
	overhead float64
	states   map[string]*limiter.State
	demand   []map[limiter.Key]float64
	count    []map[limiter.Key]float64
	calls    int
	bytes    float64
}

// simulateFullSize returns the mean calls and bytes a second that an entry sends when each account's callers use the
// given number of entries.
func simulateFullSize(used int, overhead float64) (calls, bytes float64) {
	f := &fullSizeSimulation{clock: newClock(), overhead: overhead, states: map[string]*limiter.State{}}
	names := make([]string, fullEntries)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%04d", i)
	}
	for _, name := range names {
		s, _ := limiter.Step(limiter.New(name), limiter.EntriesUpdated{Names: names, At: origin.Add(-time.Hour)})
		f.states[name] = &s
		f.demand = append(f.demand, map[limiter.Key]float64{})
		f.count = append(f.count, map[limiter.Key]float64{})
	}
	random := rand.New(rand.NewPCG(seed, 4))
	for i, name := range names {
		f.clock.after(time.Duration(random.Float64()*float64(second)), func() { f.clock.every(second, func() { f.tick(i, name) }) })
	}
	var next func()
	next = func() {
		f.clock.after(time.Duration(random.ExpFloat64()/fullRate*float64(second)), next)
		account := random.IntN(fullAccounts)
		i := (account*137 + random.IntN(used)*83) % fullEntries
		f.arrive(i, names[i], limiter.Key{Service: "kingcup-pool", Account: fmt.Sprintf("account-%04d", account)})
	}
	next()
	f.clock.runFor(fullMeasuredFrom)
	f.calls, f.bytes = 0, 0
	f.clock.runFor(fullDuration - fullMeasuredFrom)
	seconds := (fullDuration - fullMeasuredFrom).Seconds()
	return float64(f.calls) / seconds / fullEntries, f.bytes / seconds / fullEntries
}

func (f *fullSizeSimulation) arrive(i int, name string, k limiter.Key) {
	f.count[i][k]++
	// Adds the key if it is missing, since tick goes by the keys of demand.
	f.demand[i][k] += 0
	if _, has := f.states[name].Rate(k, f.clock.now); !has {
		demand := limiter.Demand{Key: k, Limit: accountLimit, Rate: 1}
		f.step(name, limiter.ShareRequested{Demand: demand, At: f.clock.now, Done: make(chan struct{}, 1)})
	}
}

func (f *fullSizeSimulation) tick(i int, name string) {
	var demands []limiter.Demand
	for k, rate := range f.demand[i] {
		rate += 0.3 * (f.count[i][k] - rate)
		f.demand[i][k] = rate
		delete(f.count[i], k)
		if rate < 0.01 {
			delete(f.demand[i], k)
			continue
		}
		demands = append(demands, limiter.Demand{Key: k, Limit: accountLimit, Rate: rate})
	}
	f.step(name, limiter.Tick{At: f.clock.now, Demands: demands})
}

func (f *fullSizeSimulation) step(name string, event limiter.Event) {
	next, effects := limiter.Step(*f.states[name], event)
	*f.states[name] = next
	for _, effect := range effects {
		ask, asks := effect.(limiter.RequestShares)
		if !asks {
			continue
		}
		f.calls++
		f.bytes += f.overhead + float64(proto.Size(messenger.EncodeDemands(name, ask.Demands)))
		home := f.states[ask.Homes[0]]
		lent, answers := limiter.Step(*home, limiter.DemandsReceived{Entry: name, Demands: ask.Demands, At: f.clock.now})
		*home = lent
		f.step(name, limiter.SharesReceived{Shares: answers[0].(limiter.SendShares).Shares, At: f.clock.now})
	}
}
