package spread

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/standin/platform"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Kind classifies why the experiment failed.
type Kind string

// The kinds of failure.
const (
	// KindSetup says that an entry did not start.
	KindSetup Kind = "setup"
	// KindLate says that a version was not in force at every entry in time.
	KindLate Kind = "late"
)

// Error is the failure of an experiment.
type Error = fault.Error[Kind]

const (
	entriesInCentre = 90
	minCentres      = 3
	settleTime      = 10 * time.Second
	publishCount    = 10
	versionTimeout  = 30 * time.Second
	pollInterval    = 2 * time.Millisecond
)

// bench holds the entries and the platform stand-in that they share.
type bench struct {
	store   *platform.Store
	isDown  atomic.Bool
	carried atomic.Int64
	entries []*entry
}

// row holds the measurements for one number of entries. callRate is in calls a second, byteRate in bytes a
// second and entry, processorShare in cores an entry, and heapMB in units of 2^20 bytes an entry.
type row struct {
	entries, endpoints               int
	callRate                         float64
	openWatches                      int
	byteRate, processorShare, heapMB float64
	median, worst                    time.Duration
	afterRelayLoss, afterOutage      time.Duration
}

// Command returns the command that measures the exchange and writes its table to out.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "spread",
		Usage: "measure heartbeats, platform calls and the time until a configuration is in force everywhere",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "entries", Value: []int{9, 50, 100, 200}, Usage: "numbers of entries to measure, a row each"},
			&cli.IntFlag{Name: "endpoints", Usage: "number of endpoints in the VM list, besides the entries"},
			&cli.DurationFlag{Name: "time", Value: settleTime, Usage: "how long the exchange is measured while nothing changes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
			_, _ = fmt.Fprintln(w, "| entries | endpoints | platform calls a second | watches waiting | bytes a second and entry |"+
				" share of a core and entry | heap MB an entry | in force: median | worst | all relays of a centre lost | after an outage |")
			_, _ = fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
			for _, n := range c.IntSlice("entries") {
				r, err := run(ctx, n, c.Int("endpoints"), c.Duration("time"))
				if err != nil {
					return err
				}
				_, _ = fmt.Fprintf(w, "| %d | %d | %.1f | %d | %.0f | %.3f%% | %.2f | %v | %v | %v | %v |\n",
					r.entries, r.endpoints, r.callRate, r.openWatches, r.byteRate, 100*r.processorShare, r.heapMB,
					r.median, r.worst, r.afterRelayLoss, r.afterOutage)
			}
			return w.Flush()
		},
	}
}

func run(ctx context.Context, n, endpoints int, idleTime time.Duration) (row, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := &bench{}
	b.store = platform.New(platform.Faults(b.injectFault))
	r := row{entries: n, endpoints: endpoints}
	for i := range endpoints {
		name := fmt.Sprintf("draft-%d", i)
		b.store.PutVM(roster.NewVM(name, roster.RoleEndpoint, roster.Centre("centre-0"), roster.Pool("pool"), roster.PeerAddress(name)))
	}
	if err := b.publish(ctx); err != nil {
		return row{}, err
	}
	for i := range n {
		e, err := start(ctx, b.store, i, max(minCentres, n/entriesInCentre), &b.carried)
		if err != nil {
			return row{}, err
		}
		b.entries = append(b.entries, e)
	}
	defer b.stop()
	if err := b.awaitVersion(1); err != nil {
		return row{}, err
	}
	time.Sleep(settleTime)
	b.measureIdle(&r, idleTime)
	return r, b.measurePropagation(ctx, &r)
}

func (b *bench) stop() {
	for _, e := range b.entries {
		e.stop()
	}
}

func (b *bench) injectFault(platform.Call, string) (before, after error) {
	if b.isDown.Load() {
		return fault.New("call", kingcupstile.KindUnavailable, nil), nil
	}
	return nil, nil
}

// measureIdle measures the cost of the exchange while nothing changes. Bytes are counted at the accepting end alone, so
// they are doubled: each one is sent by one entry and received by another.
func (b *bench) measureIdle(r *row, idleTime time.Duration) {
	calls, bytes, used, start := b.calls(), b.carried.Load(), processorTime(), time.Now()
	time.Sleep(idleTime)
	seconds := time.Since(start).Seconds()
	r.callRate = float64(b.calls()-calls) / seconds
	r.openWatches = b.store.OpenWatches()
	r.byteRate = 2 * float64(b.carried.Load()-bytes) / seconds / float64(r.entries)
	r.processorShare = (processorTime() - used).Seconds() / seconds / float64(r.entries)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	r.heapMB = float64(m.HeapAlloc) / (1 << 20) / float64(r.entries)
}

// measurePropagation measures the time until a published version is in force at every entry: in the normal case, after
// the loss of all relays of a data centre, and after an outage of the platform.
func (b *bench) measurePropagation(ctx context.Context, r *row) error {
	var times []time.Duration
	for range publishCount {
		took, err := b.propagate(ctx)
		if err != nil {
			return err
		}
		times = append(times, took)
		time.Sleep(pollInterval)
	}
	slices.Sort(times)
	r.median, r.worst = times[len(times)/2], times[len(times)-1]
	b.stopRelays("centre-0")
	var err error
	if r.afterRelayLoss, err = b.propagate(ctx); err != nil {
		return err
	}
	b.isDown.Store(true)
	time.Sleep(versionTimeout / 2)
	b.isDown.Store(false)
	r.afterOutage, err = b.propagate(ctx)
	return err
}

// stopRelays stops every relay of a data centre without notice to the others.
func (b *bench) stopRelays(centre string) {
	b.entries = slices.DeleteFunc(b.entries, func(e *entry) bool {
		vm, _ := e.Snapshot().Roster().VM(e.name)
		lost := vm.Centre() == centre && e.Snapshot().IsRelaying()
		if lost {
			e.stop()
		}
		return lost
	})
}

func (b *bench) propagate(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	if err := b.publish(ctx); err != nil {
		return 0, err
	}
	version, err := publisher.New(b.store, translator.CatalogCodec{}).Read(ctx)
	if err != nil {
		return 0, err
	}
	if err := b.awaitVersion(version.Version()); err != nil {
		return 0, err
	}
	return time.Since(start).Round(time.Millisecond), nil
}

func (b *bench) publish(ctx context.Context) error {
	p := publisher.New(b.store, translator.CatalogCodec{})
	current, err := p.Read(ctx)
	if err != nil {
		return err
	}
	s := catalog.NewService(fmt.Sprintf("service-%d", current.Version()))
	_, err = p.Publish(ctx, publisher.Change{Author: "lab", Base: current.Version(), Services: []catalog.Service{s}})
	return err
}

// awaitVersion waits until a version is in force at every entry. It returns a KindLate error after versionTimeout.
func (b *bench) awaitVersion(version uint64) error {
	start := time.Now()
	for _, e := range b.entries {
		for e.version() < version {
			if time.Since(start) > versionTimeout {
				s := e.Snapshot()
				return fault.Newf("await version", KindLate, "%s has version %d in force and holds %d, want %d; established %t, %d alive, %d departed",
					e.name, e.version(), s.Latest().Version(), version, s.IsEstablished(), s.Alive(time.Now()), len(s.Departed(time.Now())))
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func (b *bench) calls() int {
	total := 0
	for _, n := range b.store.Counts() {
		total += n
	}
	return total
}

// processorTime returns the CPU time that this process has used, user and system.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
