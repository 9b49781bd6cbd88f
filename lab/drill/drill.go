package drill

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies the failures of the experiment.
type Kind string

// KindPlot says that the plot could not be drawn or written.
const KindPlot Kind = "plot"

// Error is a failure of the experiment.
type Error = fault.Error[Kind]

// Limits of calls a second for all daemons together, as in the platform's settings, and the bounds that the users set.
const (
	ReadsPerSecond  = 2000
	WritesPerSecond = 400
	// RegisterTime is how soon after the store's return all that entries wrote must be there again.
	RegisterTime = 5 * time.Second
	// ApplyTime is how soon a new version of the configuration must be in force everywhere.
	ApplyTime = 10 * time.Second
)

// Command returns the experiment's command, which writes its table to out.
func Command(out io.Writer) *cli.Command {
	var plot string
	var entries []int
	var seeds int
	return &cli.Command{
		Name:  "drill",
		Usage: "measure how soon all entries know a store that was restored from a copy, in simulated time",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "entries", Value: []int{10, 30, 100, 300}, Usage: "how many entries; 1,000 take minutes", Destination: &entries},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "how many seeds are played for each number", Destination: &seeds},
			&cli.StringFlag{Name: "plot", Usage: "write a plot to this SVG file", Destination: &plot},
		},
		Action: func(context.Context, *cli.Command) error {
			rows := measure(out, entries, seeds)
			if plot == "" {
				return nil
			}
			return drawRows(plot, rows)
		},
	}
}

// row is the worst of all seeds for a number of entries: at a store that tells no eras, at one that does, and at one that also lost the
// registrations of all entries.
type row struct {
	entries                int
	without, with, lostAll Result
}

// measure writes a row for each number of entries as soon as it is known.
func measure(out io.Writer, entries []int, seeds int) []row {
	rows := make([]row, 0, len(entries))
	writeHead(out, seeds)
	for _, n := range entries {
		r := row{entries: n}
		results := make([]row, seeds)
		var group sync.WaitGroup
		for i := range results {
			group.Go(func() {
				s := Scenario{Entries: n, LosesOneIn: 10, Seed: uint64(i) + 1}
				results[i].without = Run(s)
				s.HasEras = true
				results[i].with = Run(s)
				s.LosesOneIn = 1
				results[i].lostAll = Run(s)
			})
		}
		group.Wait()
		for _, result := range results {
			r.without, r.with = r.without.WithWorst(result.without), r.with.WithWorst(result.with)
			r.lostAll = r.lostAll.WithWorst(result.lostAll)
		}
		r.write(out)
		rows = append(rows, r)
	}
	return rows
}

func writeHead(out io.Writer, seeds int) {
	_, _ = fmt.Fprintf(out, "Worst of %d seeds. A tenth of the registrations is lost, and all of them in the last columns.\n\n", seeds)
	_, _ = fmt.Fprintln(out, "| entries | not current after 8 s, without eras | with eras | last one current after, s |"+
		" registered after, s | reads/s before, peak in the drill | all lost: not current | registered after, s | reads/s, writes/s, peak |")
	_, _ = fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

func (r row) write(out io.Writer) {
	_, _ = fmt.Fprintf(out, "| %d | %d | %d | %.2f | %.2f%s | %d, %d | %d | %.2f%s | %d, %d |\n",
		r.entries, r.without.Behind, r.with.Behind, r.with.Current.Seconds(), r.with.Registered.Seconds(), r.with.missing(),
		r.with.ReadsBefore, r.with.Reads, r.lostAll.Behind, r.lostAll.Registered.Seconds(), r.lostAll.missing(),
		r.lostAll.Reads, r.lostAll.Writes)
}

// missing says how many entries were not registered at the end, nothing if all were.
func (r Result) missing() string {
	if r.Missing == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d never)", r.Missing)
}

// Result is what one drill showed.
type Result struct {
	// Behind is how many entries did not know the last changes at the end, and Missing how many were not registered.
	Behind, Missing int
	// Current is how long after the last changes the last entry knew them, and Registered how long after the store's return the last
	// registration was there, both only if all did.
	Current, Registered time.Duration
	// Reads and Writes are the most calls to the store in one second from its return on, and ReadsBefore the most in one before.
	Reads, Writes, ReadsBefore int
}

// WithWorst returns the worst values of both results.
func (r Result) WithWorst(other Result) Result {
	return Result{
		Behind: max(r.Behind, other.Behind), Missing: max(r.Missing, other.Missing), Current: max(r.Current, other.Current),
		Registered: max(r.Registered, other.Registered), Reads: max(r.Reads, other.Reads), Writes: max(r.Writes, other.Writes),
		ReadsBefore: max(r.ReadsBefore, other.ReadsBefore),
	}
}

// peak returns the most calls within one second among those made from a time on and before another.
func peak(calls []time.Duration, from, before time.Duration) int {
	most := 0
	calls = slices.DeleteFunc(slices.Clone(calls), func(at time.Duration) bool { return at < from || at >= before })
	for first, at := range calls {
		last, _ := slices.BinarySearch(calls, at+time.Second)
		most = max(most, last-first)
	}
	return most
}
