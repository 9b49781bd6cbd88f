package picking

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/coordination/subsetter"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Command returns the experiment's command, which writes its tables to out.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "picking",
		Usage: "compare ways to pick a runner on the same seeded load, in simulated time",
		Action: func(context.Context, *cli.Command) error {
			compare(out)
			return nil
		},
	}
}

// Today returns the load at today's size.
func Today() Load {
	return Load{
		seed: 20261204, runners: 12, entries: 9, rate: 12 * 1.83, prefixes: 500, skew: 0.9, shared: 2000,
		lag: 500 * time.Millisecond, every: time.Second, lost: 0.05, urgent: 0.1, length: 5 * time.Minute,
	}
}

// scenario is a change of the base load.
type scenario struct {
	name   string
	change func(l *Load)
}

var scenarios = []scenario{
	{"today's size at the design's rate for each runner", func(*Load) {}},
	{"reports lag 2 s", func(l *Load) { l.lag = 2 * time.Second }},
	{"one runner always reports 0", func(l *Load) { l.liars = 1 }},
	{"two runners at half speed", func(l *Load) { l.slow = 2 }},
	{"one entry has half of the traffic", func(l *Load) { l.large = 0.5 }},
	{"one prefix has a third of the traffic", func(l *Load) { l.prefixes, l.skew = 1000, 1.5 }},
	{"no prefix comes twice", func(l *Load) { l.prefixes, l.skew = 100_000, 0 }},
	{"1.3 times the rate", func(l *Load) { l.rate *= 1.3 }},
}

func compare(out io.Writer) {
	for _, s := range scenarios {
		head(out, s.name)
		for _, w := range ways {
			l := Today()
			s.change(&l)
			row(out, w.name, Run(l, w))
		}
	}
	head(out, "slack of the score")
	for _, w := range slacks {
		row(out, w.name, Run(Today(), w))
	}
	lags(out)
	head(out, "one data centre at full size: 91 entries, 136 runners of a pool")
	for _, s := range selections[:4] {
		row(out, "score over "+s.name, Run(centre(s.choose), Chosen))
	}
	for _, every := range []time.Duration{4 * time.Second, 16 * time.Second} {
		l := centre(subsetter.Select)
		l.every = every
		row(out, fmt.Sprintf("score over lots, reports every %v", every), Run(l, Chosen))
	}
	row(out, "two choices over lots", Run(centre(subsetter.Select), ways[3]))
}

// centre returns the load on one data centre of the size to design for, whose entries use subsets.
func centre(choose selection) Load {
	l := Today().WithLength(90 * time.Second)
	l.runners, l.entries, l.prefixes = 136, 91, 6000
	l.rate *= float64(l.runners) / 12
	entries, endpoints := vms("entry", roster.RoleEntry, l.entries), vms("runner", roster.RoleEndpoint, l.runners)
	lots := subsetter.Rounds(0, l.entries, l.runners)
	l.subset = func(entry int) []int {
		chosen := choose(entries[entry].Name(), lots, entries, endpoints)
		subset := make([]int, 0, len(chosen))
		for _, vm := range chosen {
			subset = append(subset, slices.IndexFunc(endpoints, func(e roster.VM) bool { return e.Name() == vm.Name() }))
		}
		return subset
	}
	return l
}

// lags shows herding: how far the most loaded runner is above the mean as reports grow older.
func lags(out io.Writer) {
	_, _ = fmt.Fprint(out, "\nmost loaded runner over mean / p95 of the first token\n\n| lag |")
	for _, w := range ways {
		_, _ = fmt.Fprintf(out, " %s |", w.name)
	}
	_, _ = fmt.Fprintln(out, "\n| --- |"+strings.Repeat(" --- |", len(ways)))
	for _, lag := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		_, _ = fmt.Fprintf(out, "| %s |", lag)
		for _, w := range ways {
			l := Today()
			l.lag = lag
			r := Run(l, w)
			_, _ = fmt.Fprintf(out, " %.2f / %d ms |", r.spread, r.first.ValueAtQuantile(95)/1000)
		}
		_, _ = fmt.Fprintln(out)
	}
}

func head(out io.Writer, name string) {
	_, _ = fmt.Fprintf(out, "\n%s\n\n", name)
	_, _ = fmt.Fprintln(out, "| way | first token p50 | p95 | urgent p95 | between tokens p95 | p99 |"+
		" cache hits | most loaded over mean | unfinished |")
	_, _ = fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

func row(out io.Writer, name string, r Result) {
	_, _ = fmt.Fprintf(out, "| %s | %d ms | %d ms | %d ms | %d ms | %d ms | %.0f%% | %.2f | %d |\n", name,
		r.First(50).Milliseconds(), r.First(95).Milliseconds(), at(r.urgent, 95).Milliseconds(),
		r.Between(95).Milliseconds(), r.Between(99).Milliseconds(),
		100*float64(r.hits)/float64(max(1, r.hits+r.misses)), r.spread, r.unfinished)
}
