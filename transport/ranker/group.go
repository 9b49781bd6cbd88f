package ranker

import (
	"context"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/executor"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// maxClients is how many clients are kept; beyond it, those of ranks that are gone are dropped with all others.
const maxClients = 2048

// Group reaches the ranks of a group, each through its sidecar; its methods are safe for concurrent use. Calls to many
// ranks go through some of their sidecars, so that the caller's own work and traffic grow with the square root of the
// number of ranks.
type Group struct {
	self   string
	own    kingcupstile.Worker
	port   string
	worker func(address string) kingcupstile.Worker
	// timeout bounds a call to a sidecar that asks no others.
	timeout time.Duration
	tally   tally
	mu      sync.Mutex
	// clients holds the client of each rank by the runner's address, and centres the data centre of each runner.
	clients map[string]*Client
	centres map[string]string
}

// NewGroup returns a group as seen from the sidecar of the runner at the address self, whose own rank is reached without
// a sidecar. Sidecars serve their ranks at the given port; worker returns a client of the rank at an address.
func NewGroup(
	self string, own kingcupstile.Worker, port string, worker func(address string) kingcupstile.Worker, options ...Option,
) *Group {
	g := &Group{self: self, own: own, port: port, worker: worker, timeout: defaultTimeout, clients: map[string]*Client{}}
	for _, option := range options {
		option(g)
	}
	return g
}

// Option sets a field of a Group under construction.
type Option func(*Group)

// Timeout sets what bounds a call to a sidecar that asks no others; calls in which it does take up to two and a half
// times as long.
func Timeout(d time.Duration) Option { return func(g *Group) { g.timeout = d } }

// relayTimeout bounds what a sidecar does for others before it answers, but for an order to prepare a map: long enough
// for a call to a sidecar and, if that fails, one to the rank itself.
func (g *Group) relayTimeout() time.Duration { return g.timeout * 5 / 3 }

// partTimeout bounds a call for an order to one rank, or to some ranks through one.
func (g *Group) partTimeout(verb rank.Verb) time.Duration {
	if verb == rank.VerbPrepare {
		return executor.CopyTimeout + g.timeout*5/2
	}
	return g.timeout * 5 / 2
}

// SetCentres sets the data centres of the runners by address; calls to many ranks are passed on within a data centre
// where that is possible.
func (g *Group) SetCentres(centres map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.centres = centres
}

// Rank returns the client of the rank of the runner at an address.
func (g *Group) Rank(address string) kingcupstile.Executor {
	if address == g.self {
		return executor.New(g.own)
	}
	return g.client(address)
}

func (g *Group) client(address string) *Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, known := g.clients[address]
	if !known {
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			ip = address
		}
		if len(g.clients) >= maxClients {
			for _, old := range g.clients {
				old.http.CloseIdleConnections()
			}
			clear(g.clients)
		}
		c = New(net.JoinHostPort(ip, g.port), g.worker(address), g.timeout)
		g.clients[address] = c
	}
	return c
}

// Result is what one rank answered: its report and, for an order, the result of that.
type Result struct {
	Address string
	rank.OrderResult
	// Unanswered is set if there is no report.
	Unanswered bool
}

// Target is a rank that gets an order, with the number of orders that it has taken.
type Target struct {
	Address    string
	OrderCount uint64
}

// Execute sends the targets an order and passes the results to deliver, in any number of parts and from several
// goroutines; with an empty verb, it asks for reports only. It returns when all targets are answered for.
func (g *Group) Execute(ctx context.Context, o rank.Order, targets []Target, deliver func([]Result)) {
	m, encoded := messenger.EncodeChangedOrder(o)
	if !encoded {
		m = messenger.EncodeOrder(o)
	}
	var wait sync.WaitGroup
	for _, part := range g.parts(targets) {
		wait.Go(func() { g.executePart(ctx, o, m, part, deliver) })
	}
	wait.Wait()
}

// executePart sends an order to a part of the targets through the first of them, and to each by itself if that fails.
func (g *Group) executePart(ctx context.Context, o rank.Order, m *wire.RankOrder, part []Target, deliver func([]Result)) {
	if len(part) == 1 {
		deliver([]Result{g.executeOne(ctx, o, part[0])})
		return
	}
	call, cancel := context.WithTimeout(ctx, g.partTimeout(o.Verb))
	defer cancel()
	batch := &wire.RankBatch{Order: m}
	for _, t := range part {
		batch.Targets = append(batch.Targets, &wire.RankTarget{Address: t.Address, Orders: t.OrderCount})
	}
	relay := g.client(part[0].Address)
	answer, err := relay.sidecar.Relay(call, batch)
	if err != nil || len(answer.GetReplies()) != len(part) {
		relay.isUnanswered(err)
		g.executeEach(ctx, o, part, deliver)
		return
	}
	var results []Result
	var again []Target
	for i, reply := range answer.GetReplies() {
		switch {
		case reply.GetFailure() == string(kingcupstile.KindMissing):
			again = append(again, part[i])
		case reply.GetReport() == nil:
			results = append(results, Result{Address: part[i].Address, Unanswered: true})
		default:
			results = append(results, Result{Address: part[i].Address, OrderResult: decodeReply(reply)})
		}
	}
	deliver(results)
	o.Base = nil
	g.executeEach(ctx, o, again, deliver)
}

// executeEach sends each target an order by itself.
func (g *Group) executeEach(ctx context.Context, o rank.Order, targets []Target, deliver func([]Result)) {
	var wait sync.WaitGroup
	for _, t := range targets {
		wait.Go(func() { deliver([]Result{g.executeOne(ctx, o, t)}) })
	}
	wait.Wait()
}

func (g *Group) executeOne(ctx context.Context, o rank.Order, t Target) Result {
	call, cancel := context.WithTimeout(ctx, g.partTimeout(o.Verb))
	defer cancel()
	result := Result{Address: t.Address}
	var err error
	if o.Verb == "" {
		result.Report, err = g.Rank(t.Address).Report(call)
	} else {
		o.ExpectedOrderCount = t.OrderCount
		result.OrderResult, err = g.Rank(t.Address).Execute(call, o)
	}
	result.Unanswered = err != nil
	return result
}

// Gather passes to deliver what the ranks at the addresses have counted since the call before, in any number of parts
// and from several goroutines. It returns when all ranks have answered or failed to.
func (g *Group) Gather(ctx context.Context, addresses []string, deliver func(rank.Counts)) {
	targets := make([]Target, len(addresses))
	for i, a := range addresses {
		targets[i].Address = a
	}
	var wait sync.WaitGroup
	for _, part := range g.parts(targets) {
		wait.Go(func() {
			call, cancel := context.WithTimeout(ctx, g.partTimeout(""))
			defer cancel()
			if sum := g.gatherPart(call, part); sum.ranks > 0 {
				deliver(sum.counts)
			}
		})
	}
	wait.Wait()
}

func (g *Group) gatherPart(ctx context.Context, part []Target) sum {
	if part[0].Address == g.self {
		return g.tally.take(ctx, g.own)
	}
	rest := make([]string, 0, len(part)-1)
	for _, t := range part[1:] {
		rest = append(rest, t.Address)
	}
	return g.client(part[0].Address).gather(ctx, rest)
}

// parts divides targets into parts that are each called through the first of them: the own rank by itself, and the
// others by data centre, with as many in a part as there are parts. A few targets are each called directly.
func (g *Group) parts(targets []Target) [][]Target {
	g.mu.Lock()
	centres := g.centres
	g.mu.Unlock()
	rest := slices.Clone(targets)
	var parts [][]Target
	if at := slices.IndexFunc(rest, func(t Target) bool { return t.Address == g.self }); at >= 0 {
		parts = append(parts, rest[at:at+1:at+1])
		rest = slices.Concat(rest[:at], rest[at+1:])
	}
	slices.SortStableFunc(rest, func(a, b Target) int { return strings.Compare(centres[a.Address], centres[b.Address]) })
	size := 1
	if len(rest) > maxDirectTargets {
		size = int(math.Ceil(math.Sqrt(float64(len(rest)))))
	}
	return append(parts, slices.Collect(slices.Chunk(rest, size))...)
}

// maxDirectTargets is the number of targets up to which each is called directly, which takes half as long.
const maxDirectTargets = 16

// kindOf returns the kind of failure of an order's result, empty if it succeeded.
func (r Result) kindOf() kingcupstile.Kind { return fault.KindOf[kingcupstile.Kind](r.Err) }

// Outcome returns how an order ended, for a log.
func (r Result) Outcome() string {
	switch {
	case r.Unanswered:
		return string(kingcupstile.KindUnavailable)
	case r.Err != nil:
		return string(r.kindOf())
	}
	return "begun"
}
