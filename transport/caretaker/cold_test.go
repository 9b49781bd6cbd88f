package caretaker_test

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/protocol/parser"
	"github.com/kingcupstile/kingcupstile/state/demand"
	"github.com/kingcupstile/kingcupstile/state/listing"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/rank"
	"github.com/kingcupstile/kingcupstile/state/routing"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/transport/caretaker"
	"github.com/kingcupstile/kingcupstile/transport/prober"
)

const engine = "127.0.5.1:80"

// feed is a feed whose listing a test sets.
type feed[T any] struct{ list func() []T }

func (f feed[T]) List(context.Context) (listing.Listing[T], error) {
	return listing.Listing[T]{Items: f.list(), Position: position.New(0, 1)}, nil
}

func (f feed[T]) Changes(context.Context, position.Position, time.Duration) (listing.Changes[T], error) {
	return listing.Changes[T]{}, errors.New("not used")
}

// node is a runner that is not in a group, with its registration.
type node struct {
	mu      sync.Mutex
	start   time.Time
	reply   demand.Reply
	isDown  bool
	checks  int
	lists   int
	runners []runner.Runner
}

func (n *node) Now() time.Duration { return time.Since(n.start) }

func (n *node) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *node) Check(_ context.Context, path string) (demand.Reply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.checks++
	if n.isDown || path != "/healthz" {
		return demand.Reply{}, errors.New("no answer")
	}
	return n.reply, nil
}

func (n *node) Report(context.Context) (rank.Report, error) {
	return rank.Report{ActiveRequests: 1}, nil
}

func (n *node) Counts(context.Context) (rank.Counts, error) { return rank.Counts{}, nil }

func (n *node) Holdings(context.Context) (rank.Holdings, error) { return rank.Holdings{}, nil }

func (n *node) SendOrder(context.Context, rank.Order) error { return nil }

func (n *node) listRunners() []runner.Runner {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lists++
	return n.runners
}

// run runs the process beside the runner until the test ends, and returns a function that asks it for the load.
func (n *node) run(t *testing.T, settings parser.PlatformSettings) (probe func() (rank.Load, bool), announce func()) {
	t.Helper()
	free, err := net.ListenPacket("udp4", "127.0.5.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := free.LocalAddr().(*net.UDPAddr).Port
	_ = free.Close()
	log := slog.New(slog.DiscardHandler)
	settings.Role, settings.IP, settings.InternalPorts = "endpoint", "127.0.5.1", []int{port}
	settings.Engine, settings.Service = engine, "pool"
	table := routing.NewTable(1, routing.Services(routing.NewService("pool", 0, routing.Engine{}).WithHealthPath("/healthz")))
	c := caretaker.New(settings, caretaker.Dependencies{
		Config:  feed[routing.Table]{func() []routing.Table { return []routing.Table{table} }},
		Runners: feed[runner.Runner]{n.listRunners}, Clock: n,
		Worker: func(string) kingcupstile.Worker { return n },
		Health: func(string) kingcupstile.HealthChecker { return n },
	}, log)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	socket, err := net.ListenPacket("udp4", "127.0.5.2:0")
	if err != nil {
		t.Fatal(err)
	}
	client := prober.NewClient(socket, uint16(port), log)
	go client.Run(ctx)
	return func() (rank.Load, bool) {
		l, known := client.Probe(t.Context(), []string{engine}, 100*time.Millisecond)[engine]
		return l, known
	}, func() { client.Announce(engine) }
}

// await asks for the load until it is as wanted.
func await(t *testing.T, probe func() (rank.Load, bool), what string, isWanted func(rank.Load) bool) {
	t.Helper()
	var last rank.Load
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); {
		l, known := probe()
		if last = l; known && isWanted(l) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("%s: last got %+v", what, last)
}

// TestEntriesAreToldThatTheRunnerIsCold has a runner say so by its registration alone, then by its answers to health checks, and come back
// cold after it was down. It guards against a process that knows nothing of the registration as it does not lead its group.
func TestEntriesAreToldThatTheRunnerIsCold(t *testing.T) {
	n := &node{start: time.Now()}
	other := runner.New("other", "pool", "127.0.5.3:80").WithWarmAt(time.Hour)
	own := runner.New("own", "pool", engine, runner.StartedAt(5))
	old := runner.New("old", "pool", engine, runner.StartedAt(4)).WithWarmAt(time.Hour)
	n.runners = []runner.Runner{old, own.WithWarmAt(10 * time.Second), other}
	probe, announce := n.run(t, parser.PlatformSettings{ColdOverage: 1.5, ColdSlack: 5})
	await(t, probe, "cold by the registration", func(l rank.Load) bool { return l.Cold > 0 && l.Cold <= 10*time.Second && l.Recent == 0 })
	announce()
	announce()
	await(t, probe, "two requests announced", func(l rank.Load) bool { return l.Recent == 2 })
	n.set(func() { n.reply = demand.Reply{HasCold: true, Cold: 50 * time.Second} })
	await(t, probe, "cold by a health check", func(l rank.Load) bool { return l.Cold > 40*time.Second })
	n.set(func() { n.reply, n.isDown, n.runners = demand.Reply{HasCold: true}, true, nil })
	await(t, probe, "a check without an answer changes nothing", func(l rank.Load) bool { return l.Cold > 40*time.Second })
	// The readings of the start are over, so that only another one can find the new registration.
	await(t, probe, "two readings of the registration", func(rank.Load) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.lists == 2
	})
	time.Sleep(600 * time.Millisecond)
	n.set(func() { n.isDown, n.runners = false, []runner.Runner{own.WithWarmAt(n.Now() + 20*time.Second)} })
	await(t, probe, "cold by the new registration", func(l rank.Load) bool { return l.Cold > 10*time.Second && l.Cold <= 20*time.Second })
}

// TestProcessWithoutColdSettings guards against calls to the store and to the runner, and against longer replies, where the settings do
// not limit cold runners.
func TestProcessWithoutColdSettings(t *testing.T) {
	n := &node{start: time.Now(), reply: demand.Reply{HasCold: true, Cold: time.Minute}}
	n.runners = []runner.Runner{runner.New("own", "pool", engine).WithWarmAt(time.Hour)}
	probe, announce := n.run(t, parser.PlatformSettings{ColdSlack: 5})
	await(t, probe, "an answer", func(rank.Load) bool { return true })
	announce()
	await(t, probe, "an announcement", func(l rank.Load) bool { return l.Open == 2 })
	time.Sleep(600 * time.Millisecond)
	if l, known := probe(); !known || l.Cold != 0 || l.Recent != 0 {
		t.Errorf("got %+v, known %t", l, known)
	}
	n.set(func() {
		if n.checks > 0 || n.lists > 0 {
			t.Errorf("%d health checks, %d readings of registrations", n.checks, n.lists)
		}
	})
}
