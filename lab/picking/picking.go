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

// Command returns the command that compares picking strategies and writes its tables to out.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "picking",
		Usage: "compare strategies for picking a runner on the same seeded load, in simulated time",
		Action: func(context.Context, *cli.Command) error {
			compare(out)
			return nil
		},
	}
}

// BaseLoad returns the load of the users' present size, 12 runners and 9 entries, at the design rate of 1.83 requests a
// second for each runner.
func BaseLoad() Load {
	return Load{
		seed: 20261204, runners: 12, entries: 9, rate: 12 * 1.83, prefixes: 500, skew: 0.9, sharedTokens: 2000,
		reportLag: 500 * time.Millisecond, reportInterval: time.Second, reportLoss: 0.05, urgentShare: 0.1, duration: 5 * time.Minute,
	}
}

// scenario is a named change to the base load.
type scenario struct {
	name   string
	change func(l *Load)
}

var scenarios = []scenario{
	{"today's size at the design's rate for each runner", func(*Load) {}},
	{"reports lag 2 s", func(l *Load) { l.reportLag = 2 * time.Second }},
	{"one runner always reports 0", func(l *Load) { l.zeroReporters = 1 }},
	{"two runners at half speed", func(l *Load) { l.slowRunners = 2 }},
	{"one entry has half of the traffic", func(l *Load) { l.largeEntryShare = 0.5 }},
	{"one prefix has a third of the traffic", func(l *Load) { l.prefixes, l.skew = 1000, 1.5 }},
	{"no prefix comes twice", func(l *Load) { l.prefixes, l.skew = 100_000, 0 }},
	{"1.3 times the rate", func(l *Load) { l.rate *= 1.3 }},
}

func compare(out io.Writer) {
	for _, s := range scenarios {
		printHeader(out, s.name)
		for _, strategy := range strategies {
			l := BaseLoad()
			s.change(&l)
			printRow(out, strategy.name, Run(l, strategy))
		}
	}
	printHeader(out, "slack of the score")
	for _, strategy := range slackStrategies {
		printRow(out, strategy.name, Run(BaseLoad(), strategy))
	}
	compareLags(out)
	printHeader(out, "one data centre at full size: 91 entries, 136 runners of a pool")
	for _, s := range subsetChoosers[:4] {
		printRow(out, "score over "+s.name, Run(centreLoad(s.choose), DaemonStrategy))
	}
	for _, interval := range []time.Duration{4 * time.Second, 16 * time.Second} {
		l := centreLoad(subsetter.Select)
		l.reportInterval = interval
		printRow(out, fmt.Sprintf("score over lots, reports every %v", interval), Run(l, DaemonStrategy))
	}
	printRow(out, "two choices over lots", Run(centreLoad(subsetter.Select), strategies[3]))
}

// centreLoad returns the load of one data centre at the full design size, where each entry uses the subset of the
// runners that choose returns for it.
func centreLoad(choose subsetChooser) Load {
	l := BaseLoad().WithDuration(90 * time.Second)
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

// compareLags prints the herding of each strategy: the load of the most loaded runner over the mean load, as reports
// grow staler.
func compareLags(out io.Writer) {
	_, _ = fmt.Fprint(out, "\nmost loaded runner over mean / p95 of the first token\n\n| lag |")
	for _, strategy := range strategies {
		_, _ = fmt.Fprintf(out, " %s |", strategy.name)
	}
	_, _ = fmt.Fprintln(out, "\n| --- |"+strings.Repeat(" --- |", len(strategies)))
	for _, lag := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		_, _ = fmt.Fprintf(out, "| %s |", lag)
		for _, strategy := range strategies {
			l := BaseLoad()
			l.reportLag = lag
			r := Run(l, strategy)
			_, _ = fmt.Fprintf(out, " %.2f / %d ms |", r.peakToMean, r.first.ValueAtQuantile(95)/1000)
		}
		_, _ = fmt.Fprintln(out)
	}
}

func printHeader(out io.Writer, name string) {
	_, _ = fmt.Fprintf(out, "\n%s\n\n", name)
	_, _ = fmt.Fprintln(out, "| way | first token p50 | p95 | urgent p95 | between tokens p95 | p99 |"+
		" cache hits | most loaded over mean | unfinished |")
	_, _ = fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

func printRow(out io.Writer, name string, r Result) {
	_, _ = fmt.Fprintf(out, "| %s | %d ms | %d ms | %d ms | %d ms | %d ms | %.0f%% | %.2f | %d |\n", name,
		r.First(50).Milliseconds(), r.First(95).Milliseconds(), quantile(r.urgent, 95).Milliseconds(),
		r.Between(95).Milliseconds(), r.Between(99).Milliseconds(),
		100*float64(r.hits)/float64(max(1, r.hits+r.misses)), r.peakToMean, r.unfinished)
}
