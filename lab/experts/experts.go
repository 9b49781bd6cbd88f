package experts

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/rebalancer"
	"github.com/kingcupstile/kingcupstile/standin/tracer"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why an experiment failed.
type Kind string

// KindPlot marks a plot that could not be drawn or written.
const KindPlot Kind = "plot"

// Error is the failure of an experiment.
type Error = fault.Error[Kind]

const (
	layers          = 60
	ranks           = 64
	expertsPerLayer = 64
	windows         = 240
	seed            = 20261204
	// reactionWindows is how many windows after a change of topic are left out of the steady state.
	reactionWindows = 6
)

// contender is a policy under comparison, with its name in tables and plots.
type contender struct {
	name   string
	policy kingcupstile.Rebalancer
}

func contenders() []contender {
	budget := rebalancer.Budget(tracer.Budget)
	return []contender{
		{"static", rebalancer.Static{}},
		{"full re-pack", rebalancer.Repack{}},
		{"threshold only", rebalancer.Threshold{Limit: 1.2}},
		{"ours, weight 90", rebalancer.New(rebalancer.Weight(90), budget)},
		{"ours, weight 20", rebalancer.New(rebalancer.Weight(20), budget)},
	}
}

// Command returns the experiment's command, which writes a table for each number of slots to out and, with --plots,
// plots to a folder.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "experts",
		Usage: "compare rebalancing policies on seeded traces",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plots", Usage: "the folder for a plot of each trace with the last of the numbers of slots"},
			&cli.IntSliceFlag{Name: "slots", Value: []int{2, 3}, Usage: "the numbers of slots of each rank in each layer"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			var results map[tracer.Name][]tracer.Result
			for _, slots := range c.IntSlice("slots") {
				results = compare(tracer.Shape{Layers: layers, Ranks: ranks, Slots: slots, Experts: expertsPerLayer, Windows: windows})
				table(out, slots, results)
			}
			if folder := c.String("plots"); folder != "" {
				return plotAll(folder, results)
			}
			return nil
		},
	}
}

// compare replays every trace against every contender, with at most half as many replays at once as there are
// processors.
func compare(shape tracer.Shape) map[tracer.Name][]tracer.Result {
	results := map[tracer.Name][]tracer.Result{}
	var group sync.WaitGroup
	semaphore := make(chan struct{}, max(1, runtime.NumCPU()/2))
	for _, name := range tracer.Names() {
		trace := tracer.New(name, shape, seed)
		initial := tracer.InitialMap(shape, trace)
		row := make([]tracer.Result, len(contenders()))
		results[name] = row
		for i, c := range contenders() {
			semaphore <- struct{}{}
			group.Go(func() {
				row[i] = tracer.Replay(trace, initial, c.policy)
				<-semaphore
			})
		}
	}
	group.Wait()
	return results
}

func table(out io.Writer, slots int, results map[tracer.Name][]tracer.Result) {
	_, _ = fmt.Fprintf(out, "\n%d slots a rank:\n\n", slots)
	_, _ = fmt.Fprintln(out, "| trace | policy | mean | p95 | p95 once seen | bound p95 "+
		"| experts moved | GB moved | switches | s of loading |")
	_, _ = fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, name := range tracer.Names() {
		for i, c := range contenders() {
			r := results[name][i]
			steady := r.Skew
			if name == tracer.Sudden {
				steady = tracer.SteadyState(r.Skew, reactionWindows)
			}
			_, _ = fmt.Fprintf(out, "| %s | %s | %.3f | %.3f | %.3f | %.3f | %d | %.0f | %d | %.0f |\n", name, c.name,
				tracer.Mean(r.Skew), tracer.Percentile(r.Skew, 0.95), tracer.Percentile(steady, 0.95),
				tracer.Percentile(r.Bound, 0.95), r.Total(), float64(r.Total())*tracer.ExpertBytes/1e9, r.Switches,
				r.Loading.Round(time.Second).Seconds())
		}
	}
}
