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

// Kind classifies why the experiment failed.
type Kind string

// KindSetup says that the path could not be set up.
const KindSetup Kind = "setup"

// Error is the failure of an experiment.
type Error = fault.Error[Kind]

const (
	key        = "path-key"
	service    = "drafts"
	draftLines = 8
	// endpointCount spreads the callers, as each endpoint starts with a limit of 32 attempts in flight.
	endpointCount = 16
	// discoveryTime is the wait after the first success, so that the entry discovers every endpoint.
	discoveryTime = 3 * time.Second
)

// row is the measurement of one target at one number of callers.
type row struct {
	target   string
	callers  int
	rate     float64
	perCore  float64
	p50, p99 time.Duration
	allocs   float64
}

// Command returns the command that measures the path and writes its table to out.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "path",
		Usage: "compare calls through the entry and the endpoint process with direct calls of the engine",
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
	direct, viaPath, err := setup(ctx, f)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "| callers | way | requests/s | requests/s per core used | first event p50 | p99 | allocations a request |\n")
	_, _ = fmt.Fprintf(out, "| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, callers := range []int{1, 32, 256} {
		var rows []row
		for _, call := range []struct{ name, target string }{{"direct", direct}, {"path", viaPath}} {
			r, err := measure(ctx, call.target, callers, duration)
			if err != nil {
				return err
			}
			r.target = call.name
			rows = append(rows, r)
		}
		for _, r := range rows {
			_, _ = fmt.Fprintf(out, "| %d | %s | %.0f | %.0f | %s | %s | %.0f |\n",
				r.callers, r.target, r.rate, r.perCore, r.p50.Round(time.Microsecond), r.p99.Round(time.Microsecond), r.allocs)
		}
		_, _ = fmt.Fprintf(out, "| %d | path over direct | %.2f | %.2f | +%s | +%s | +%.0f |\n", callers,
			rows[1].rate/rows[0].rate, rows[1].perCore/rows[0].perCore,
			(rows[1].p50 - rows[0].p50).Round(time.Microsecond), (rows[1].p99 - rows[0].p99).Round(time.Microsecond),
			rows[1].allocs-rows[0].allocs)
	}
	return nil
}

// setup starts the engine, the entry and the endpoints, and returns the URLs of a direct call and of a call through the
// path. It returns a KindSetup error if the entry issues no ticket within 15 s.
func setup(ctx context.Context, f *fleet.Fleet) (direct, viaPath string, err error) {
	address, err := f.Serve(engine.New(engine.NewGroup(1), engine.LineInterval(0)).Handler())
	if err != nil {
		return "", "", err
	}
	entry, err := f.StartEntry("entry-1", "kgl-a")
	if err != nil {
		return "", "", err
	}
	for i := range endpointCount {
		if _, err := f.StartEndpoint(fmt.Sprintf("draft-%d", i+1), "kgl-a", service, address); err != nil {
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
			time.Sleep(discoveryTime)
			return "http://" + address + "/v1/drafts", "http://" + entry.Callers + "/" + service + "/v1/drafts", nil
		case time.Now().After(deadline):
			return "", "", fault.New("set up path", KindSetup, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// measure sends drafts to target from concurrent callers, each one at a time, for the given duration.
func measure(ctx context.Context, target string, callers int, duration time.Duration) (row, error) {
	body, err := json.Marshal(engine.Draft{Slip: "slip", Lines: draftLines})
	if err != nil {
		return row{}, err
	}
	c := caller.New(key)
	histograms := make([]*hdrhistogram.Histogram, callers)
	errs := make([]error, callers)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuStart, start := processorTime(), time.Now()
	var group sync.WaitGroup
	for i := range callers {
		histograms[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		group.Go(func() {
			for time.Since(start) < duration && errs[i] == nil {
				errs[i] = streamDraft(ctx, c, target, body, histograms[i])
			}
		})
	}
	group.Wait()
	elapsed, cpuUsed := time.Since(start), processorTime()-cpuStart
	runtime.ReadMemStats(&after)
	if err := errors.Join(errs...); err != nil {
		return row{}, err
	}
	merged := histograms[0]
	for _, h := range histograms[1:] {
		merged.Merge(h)
	}
	n := float64(merged.TotalCount())
	return row{
		callers: callers,
		rate:    n / elapsed.Seconds(),
		perCore: n / cpuUsed.Seconds(),
		p50:     time.Duration(merged.ValueAtQuantile(50)) * time.Microsecond,
		p99:     time.Duration(merged.ValueAtQuantile(99)) * time.Microsecond,
		allocs:  float64(after.Mallocs-before.Mallocs) / n,
	}, nil
}

// streamDraft streams one draft and records the time to its first event in microseconds. An error after all events of
// the draft does not count.
func streamDraft(ctx context.Context, c *caller.Caller, target string, body []byte, h *hdrhistogram.Histogram) error {
	start, events := time.Now(), 0
	err := c.Stream(ctx, target, nil, body, func(caller.Event) bool {
		if events == 0 {
			_ = h.RecordValue(time.Since(start).Microseconds())
		}
		events++
		return true
	})
	if err != nil && events != draftLines+1 {
		return err
	}
	return nil
}

// processorTime returns the CPU time that this process has used, user and system.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
