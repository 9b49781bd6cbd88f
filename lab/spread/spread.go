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

// Kind classifies why nothing was measured.
type Kind string

// The kinds of failure.
const (
	KindSetup Kind = "setup"
	KindLate  Kind = "late"
)

// Error is an experiment that measured nothing.
type Error = fault.Error[Kind]

const (
	entriesInCentre = 90
	minCentres      = 3
	settleTime      = 10 * time.Second
	publishes       = 10
	patience        = 30 * time.Second
	poll            = 2 * time.Millisecond
)

// bench is entries around a platform stand-in.
type bench struct {
	store   *platform.Store
	down    atomic.Bool
	bytes   atomic.Int64
	entries []*entry
}

// row is what one number of entries gave.
type row struct {
	entries, endpoints     int
	calls                  float64
	watching               int
	bytes, processor, heap float64
	median, worst          time.Duration
	relayLost, outage      time.Duration
}

// Command returns the experiment's command, which writes its table to out.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "spread",
		Usage: "measure heartbeats, platform calls and the time until a configuration is in force everywhere",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "entries", Value: []int{9, 50, 100, 200}, Usage: "the numbers of entries"},
			&cli.IntFlag{Name: "endpoints", Usage: "how many endpoints the VM list names besides"},
			&cli.DurationFlag{Name: "time", Value: settleTime, Usage: "how long the quiet exchange is measured"},
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
					r.entries, r.endpoints, r.calls, r.watching, r.bytes, 100*r.processor, r.heap,
					r.median, r.worst, r.relayLost, r.outage)
			}
			return w.Flush()
		},
	}
}

func run(ctx context.Context, n, endpoints int, quiet time.Duration) (row, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := &bench{}
	b.store = platform.New(platform.Faults(b.fault))
	r := row{entries: n, endpoints: endpoints}
	for i := range endpoints {
		name := fmt.Sprintf("draft-%d", i)
		b.store.PutVM(roster.NewVM(name, roster.RoleEndpoint, roster.Centre("centre-0"), roster.Pool("pool"), roster.PeerAddress(name)))
	}
	if err := b.publish(ctx); err != nil {
		return row{}, err
	}
	for i := range n {
		e, err := start(ctx, b.store, i, max(minCentres, n/entriesInCentre), &b.bytes)
		if err != nil {
			return row{}, err
		}
		b.entries = append(b.entries, e)
	}
	defer b.stop()
	if err := b.await(1); err != nil {
		return row{}, err
	}
	time.Sleep(settleTime)
	b.measureQuiet(&r, quiet)
	return r, b.measureSpread(ctx, &r)
}

func (b *bench) stop() {
	for _, e := range b.entries {
		e.stop()
	}
}

func (b *bench) fault(platform.Call, string) (before, after error) {
	if b.down.Load() {
		return fault.New("call", kingcupstile.KindUnavailable, nil), nil
	}
	return nil, nil
}

// measureQuiet measures what the exchange costs while nothing changes.
func (b *bench) measureQuiet(r *row, quiet time.Duration) {
	calls, bytes, used, began := b.calls(), b.bytes.Load(), processor(), time.Now()
	time.Sleep(quiet)
	seconds := time.Since(began).Seconds()
	r.calls = float64(b.calls()-calls) / seconds
	r.watching = b.store.Waiting()
	r.bytes = 2 * float64(b.bytes.Load()-bytes) / seconds / float64(r.entries)
	r.processor = (processor() - used).Seconds() / seconds / float64(r.entries)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	r.heap = float64(m.HeapAlloc) / (1 << 20) / float64(r.entries)
}

// measureSpread measures the time until a version is in force everywhere, also without relays and after an outage.
func (b *bench) measureSpread(ctx context.Context, r *row) error {
	var times []time.Duration
	for range publishes {
		took, err := b.spread(ctx)
		if err != nil {
			return err
		}
		times = append(times, took)
		time.Sleep(poll)
	}
	slices.Sort(times)
	r.median, r.worst = times[len(times)/2], times[len(times)-1]
	b.loseRelays("centre-0")
	var err error
	if r.relayLost, err = b.spread(ctx); err != nil {
		return err
	}
	b.down.Store(true)
	time.Sleep(patience / 2)
	b.down.Store(false)
	r.outage, err = b.spread(ctx)
	return err
}

// loseRelays stops every relay of a data centre without a word.
func (b *bench) loseRelays(centre string) {
	b.entries = slices.DeleteFunc(b.entries, func(e *entry) bool {
		vm, _ := e.Snapshot().Roster().VM(e.name)
		lost := vm.Centre() == centre && e.Snapshot().IsRelaying()
		if lost {
			e.stop()
		}
		return lost
	})
}

func (b *bench) spread(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	if err := b.publish(ctx); err != nil {
		return 0, err
	}
	version, err := publisher.New(b.store, translator.CatalogCodec{}).Read(ctx)
	if err != nil {
		return 0, err
	}
	if err := b.await(version.Version()); err != nil {
		return 0, err
	}
	return time.Since(began).Round(time.Millisecond), nil
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

// await waits until a version is in force at every entry.
func (b *bench) await(version uint64) error {
	began := time.Now()
	for _, e := range b.entries {
		for e.version() < version {
			if time.Since(began) > patience {
				s := e.Snapshot()
				return fault.Newf("await version", KindLate, "%s has version %d and holds %d, not %d; established %t, %d alive, departed %d",
					e.name, e.version(), s.Latest().Version(), version, s.IsEstablished(), s.Alive(time.Now()), len(s.Departed(time.Now())))
			}
			time.Sleep(poll)
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

// processor returns the processor time that this process used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
