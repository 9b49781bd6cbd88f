package ranker_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/leveler"
	"github.com/kingcupstile/kingcupstile/standin/lockstep"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/rank"
	"github.com/kingcupstile/kingcupstile/transport/ranker"
)

const (
	ranks   = 40
	sets    = 2
	experts = 80
)

// cluster is a group of ranks on loopback, each with a sidecar on an address of its own and the same port.
type cluster struct {
	t      *testing.T
	port   int
	mu     sync.Mutex
	group  *lockstep.Group
	counts []uint64
	// calls counts the calls that reach each rank by address, and direct those that bypass its sidecar.
	calls, direct map[string]int
	groups        []*ranker.Group
	servers       []*http.Server
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, counts: make([]uint64, ranks), calls: map[string]int{}, direct: map[string]int{}}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	c.group = lockstep.New("g", leveler.InitialLayout(sets, experts, ranks), now, time.Millisecond)
	l, err := net.Listen("tcp", "127.0.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.port = l.Addr().(*net.TCPAddr).Port
	for r := range ranks {
		if r > 0 {
			if l, err = net.Listen("tcp", net.JoinHostPort(ip(r), strconv.Itoa(c.port))); err != nil {
				t.Fatal(err)
			}
		}
		g := ranker.NewGroup(address(r), worker{cluster: c, rank: r}, strconv.Itoa(c.port), func(to string) kingcupstile.Worker {
			return worker{cluster: c, rank: rankOf(to), direct: true}
		}, ranker.Timeout(10*time.Second))
		server := &http.Server{Handler: ranker.Handler(g), ReadHeaderTimeout: time.Second}
		c.groups, c.servers = append(c.groups, g), append(c.servers, server)
		listener := l
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	return c
}

func ip(r int) string      { return fmt.Sprint("127.0.1.", r+1) }
func address(r int) string { return ip(r) + ":80" }

func rankOf(address string) int {
	r := 0
	_, _ = fmt.Sscanf(address, "127.0.1.%d:80", &r)
	return r - 1
}

// worker is the client of a rank, from its own VM or directly from another one.
type worker struct {
	cluster *cluster
	rank    int
	direct  bool
}

func (w worker) enter() func() {
	w.cluster.mu.Lock()
	w.cluster.calls[address(w.rank)]++
	if w.direct {
		w.cluster.direct[address(w.rank)]++
	}
	return w.cluster.mu.Unlock
}

func (w worker) Report(context.Context) (rank.Report, error) {
	defer w.enter()()
	return w.cluster.group.Report(w.rank), nil
}

func (w worker) Counts(context.Context) (rank.Counts, error) {
	defer w.enter()()
	return rank.Counts{Epoch: 1, Counts: []uint64{w.cluster.counts[w.rank], 7}}, nil
}

func (w worker) Holdings(context.Context) (rank.Holdings, error) {
	defer w.enter()()
	return w.cluster.group.Holdings(w.rank), nil
}

func (w worker) SendOrder(_ context.Context, o rank.Order) error {
	defer w.enter()()
	return w.cluster.group.Apply(w.rank, o)
}

// execute sends an order to all ranks from the first one's sidecar and returns the results by address.
func (c *cluster) execute(o rank.Order) map[string]ranker.Result {
	c.t.Helper()
	targets := make([]ranker.Target, ranks)
	for r := range targets {
		c.mu.Lock()
		targets[r] = ranker.Target{Address: address(r), OrderCount: c.group.Report(r).OrderCount}
		c.mu.Unlock()
	}
	results := map[string]ranker.Result{}
	var mu sync.Mutex
	c.groups[0].Execute(c.t.Context(), o, targets, func(part []ranker.Result) {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range part {
			results[r.Address] = r
		}
	})
	return results
}

// nextLayout returns the initial layout with two experts more on some ranks.
func nextLayout() rank.Layout {
	layout, _ := leveler.InitialLayout(sets, experts, ranks).WithChanges([]rank.Change{
		{Set: 0, Rank: 3, Expert: 70}, {Set: 1, Rank: 39, Expert: 5},
	})
	return layout
}

func prepareOrder(version uint64) rank.Order {
	return rank.Order{
		Verb: rank.VerbPrepare, Epoch: 1, Version: version, Layout: nextLayout(), Base: leveler.InitialLayout(sets, experts, ranks),
	}
}

// TestOrdersReachAllRanksThroughSome prepares a map, sent as changes of the initial one, on all ranks: each gets it once,
// by its own sidecar, and the caller calls only some of them itself.
func TestOrdersReachAllRanksThroughSome(t *testing.T) {
	c := newCluster(t)
	for a, r := range c.execute(prepareOrder(1007)) {
		if r.Unanswered || r.Err != nil || r.VerifiedVersion != 1007 || r.Report.OrderCount != 1 || r.Report.IsLagged {
			t.Errorf("%s: %+v", a, r)
		}
	}
	if len(c.direct) != 0 {
		t.Errorf("sidecars were bypassed: %v", c.direct)
	}
	results := c.execute(rank.Order{})
	for r := range ranks {
		if got := results[address(r)].Report; got.PreparedVersion != 1007 || got.Rank != r {
			t.Errorf("rank %d reports %+v", r, got)
		}
	}
}

// TestUnknownBaseIsSentWhole sends changes of a map that the sidecars do not have, and changes that do not lead to the
// meant map: they must get the map whole.
func TestUnknownBaseIsSentWhole(t *testing.T) {
	c := newCluster(t)
	o := prepareOrder(1007)
	o.BaseVersion = 900
	for a, r := range c.execute(o) {
		if r.Unanswered || r.VerifiedVersion != 1007 {
			t.Errorf("%s: %+v", a, r)
		}
	}
	o = prepareOrder(2007)
	// The sidecars take map 0 for the initial layout, which this one is not.
	o.Base, _ = o.Base.WithChanges([]rank.Change{{Set: 0, Rank: 1, Expert: 2}})
	for a, r := range c.execute(o) {
		if r.Unanswered || r.VerifiedVersion != 2007 {
			t.Errorf("%s: %+v", a, r)
		}
	}
}

// TestLostSidecars stops the sidecars of a third of the ranks, some of which would have passed calls on: all ranks get
// the order all the same, once, and the reports of those that were called directly are marked.
func TestLostSidecars(t *testing.T) {
	c := newCluster(t)
	for r := 1; r < ranks; r += 3 {
		_ = c.servers[r].Close()
	}
	results := c.execute(prepareOrder(1007))
	for r := range ranks {
		got := results[address(r)]
		if got.Unanswered || got.Report.PreparedVersion != 1007 || got.Report.OrderCount != 1 || got.Report.IsLagged != (r%3 == 1) {
			t.Errorf("rank %d: %+v", r, got)
		}
	}
}

func TestOrderInAnotherEpochIsRejected(t *testing.T) {
	c := newCluster(t)
	o := prepareOrder(1007)
	o.Epoch = 9
	for a, r := range c.execute(o) {
		if r.Unanswered || fault.KindOf[kingcupstile.Kind](r.Err) != kingcupstile.KindConflict || r.Outcome() != "conflict" {
			t.Errorf("%s: %+v", a, r)
		}
	}
}

// TestGatherSumsWhatWasCountedSince gathers counts twice: the first time only sets where the second begins, and a rank
// that is asked through another counts once.
func TestGatherSumsWhatWasCountedSince(t *testing.T) {
	c := newCluster(t)
	addresses := make([]string, ranks)
	for r := range addresses {
		addresses[r] = address(r)
	}
	gather := func() (sum uint64) {
		var mu sync.Mutex
		c.groups[0].Gather(t.Context(), addresses, func(counts rank.Counts) {
			mu.Lock()
			defer mu.Unlock()
			sum += counts.Counts[0]
		})
		return sum
	}
	if got := gather(); got != 0 {
		t.Errorf("%d counted before the first call", got)
	}
	want := uint64(0)
	for r := range c.counts {
		c.mu.Lock()
		c.counts[r] += uint64(100 + r)
		c.mu.Unlock()
		want += uint64(100 + r)
	}
	// Counts of one rank or of some together are rounded to squares.
	if got := gather(); got < want*9/10 || got > want*11/10 {
		t.Errorf("%d counted, want %d", got, want)
	}
	if got := gather(); got != 0 {
		t.Errorf("%d counted without any", got)
	}
}
