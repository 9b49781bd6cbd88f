package path

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/standin/caller"
	"github.com/kingcupstile/kingcupstile/standin/engine"
	"github.com/kingcupstile/kingcupstile/standin/fleet"
	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why nothing was measured.
type Kind string

// KindSetup says that the path could not be set up.
const KindSetup Kind = "setup"

// Error is an experiment that measured nothing.
type Error = fault.Error[Kind]

const (
	key     = "path-key"
	service = "drafts"
	lines   = 8
	// endpoints share the callers, as each starts with a limit of 32 attempts at once.
	endpoints = 16
	// learnTime lets the entry learn of every endpoint.
	learnTime = 3 * time.Second
)

// row is what one way of calling the engine gave.
type row struct {
	way      string
	callers  int
	rate     float64
	perCore  float64
	p50, p99 time.Duration
	allocs   float64
}

// Command returns the experiment's command, which writes its table to out.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "path",
		Usage: "compare the path through entry and endpoint process with calling the engine directly",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "time", Value: 3 * time.Second, Usage: "how long each row is measured"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, out, c.Duration("time"))
		},
	}
}

func run(ctx context.Context, out io.Writer, duration time.Duration) error {
	f, err := fleet.New()
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	direct, through, err := setup(ctx, f)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "| callers | way | requests/s | requests/s per core used | first event p50 | p99 | allocations a request |\n")
	_, _ = fmt.Fprintf(out, "| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, callers := range []int{1, 32, 256} {
		var rows []row
		for _, way := range []struct{ name, target string }{{"direct", direct}, {"path", through}} {
			r, err := measure(ctx, way.target, callers, duration)
			if err != nil {
				return err
			}
			r.way = way.name
			rows = append(rows, r)
		}
		for _, r := range rows {
			_, _ = fmt.Fprintf(out, "| %d | %s | %.0f | %.0f | %s | %s | %.0f |\n",
				r.callers, r.way, r.rate, r.perCore, r.p50.Round(time.Microsecond), r.p99.Round(time.Microsecond), r.allocs)
		}
		_, _ = fmt.Fprintf(out, "| %d | path over direct | %.2f | %.2f | +%s | +%s | +%.0f |\n", callers,
			rows[1].rate/rows[0].rate, rows[1].perCore/rows[0].perCore,
			(rows[1].p50 - rows[0].p50).Round(time.Microsecond), (rows[1].p99 - rows[0].p99).Round(time.Microsecond),
			rows[1].allocs-rows[0].allocs)
	}
	return nil
}

// setup starts the path and returns the targets of a direct call and of a call through the path.
func setup(ctx context.Context, f *fleet.Fleet) (direct, through string, err error) {
	address, err := f.Serve(engine.New(engine.NewGroup(1), engine.Pace(0)).Handler())
	if err != nil {
		return "", "", err
	}
	entry, err := f.Entry("entry-1", "kgl-a")
	if err != nil {
		return "", "", err
	}
	for i := range endpoints {
		if _, err := f.Endpoint(fmt.Sprintf("draft-%d", i+1), "kgl-a", service, address); err != nil {
			return "", "", err
		}
	}
	change := publisher.Change{
		Author: "lab",
		Services: []catalog.Service{catalog.NewService(service,
			catalog.ServedBy(catalog.ModeModel, service),
			catalog.Timeout(time.Minute),
			catalog.Repeatable("POST /v1/drafts"),
			catalog.Grants(catalog.NewGrant("lab", 0, 0)),
		)},
		Accounts: []catalog.Account{catalog.NewAccount("lab", "lab", caller.Hash(key))},
	}
	if _, err := publisher.New(f.Store(), translator.CatalogCodec{}).Publish(ctx, change); err != nil {
		return "", "", err
	}
	for deadline := time.Now().Add(15 * time.Second); ; {
		_, err := caller.New(key).Ticket(ctx, entry.Callers, service)
		switch {
		case err == nil:
			time.Sleep(learnTime)
			return "http://" + address + "/v1/drafts", "http://" + entry.Callers + "/" + service + "/v1/drafts", nil
		case time.Now().After(deadline):
			return "", "", fault.New("set up path", KindSetup, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// measure sends drafts from a number of callers at once for a while.
func measure(ctx context.Context, target string, callers int, duration time.Duration) (row, error) {
	body, err := json.Marshal(engine.Draft{Slip: "slip", Lines: lines})
	if err != nil {
		return row{}, err
	}
	c := caller.New(key)
	histograms := make([]*hdrhistogram.Histogram, callers)
	failures := make([]error, callers)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, start := processorTime(), time.Now()
	var group sync.WaitGroup
	for i := range callers {
		histograms[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		group.Go(func() {
			for time.Since(start) < duration && failures[i] == nil {
				failures[i] = one(ctx, c, target, body, histograms[i])
			}
		})
	}
	group.Wait()
	elapsed, used := time.Since(start), processorTime()-cpu
	runtime.ReadMemStats(&after)
	if err := errors.Join(failures...); err != nil {
		return row{}, err
	}
	all := histograms[0]
	for _, h := range histograms[1:] {
		all.Merge(h)
	}
	n := float64(all.TotalCount())
	return row{
		callers: callers,
		rate:    n / elapsed.Seconds(),
		perCore: n / used.Seconds(),
		p50:     time.Duration(all.ValueAtQuantile(50)) * time.Microsecond,
		p99:     time.Duration(all.ValueAtQuantile(99)) * time.Microsecond,
		allocs:  float64(after.Mallocs-before.Mallocs) / n,
	}, nil
}

// one streams one draft and records the time to its first event.
func one(ctx context.Context, c *caller.Caller, target string, body []byte, h *hdrhistogram.Histogram) error {
	start, events := time.Now(), 0
	err := c.Stream(ctx, target, nil, body, func(caller.Event) bool {
		if events == 0 {
			_ = h.RecordValue(time.Since(start).Microseconds())
		}
		events++
		return true
	})
	if err != nil && events != lines+1 {
		return err
	}
	return nil
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
