package entries

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Command returns the experiment's command, which writes its table to out.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "entries",
		Usage: "compare strategies for telling callers which entry to use, in simulated time",
		Action: func(context.Context, *cli.Command) error {
			compare(out)
			return nil
		},
	}
}

// CurrentLoad returns the load of 200 callers on 9 entries. A large account sends the given share of it, from 0 to 1.
func CurrentLoad(large float64) Load {
	return Load{seed: 20261204, entries: 9, centres: 3, callers: 200, largeCallers: 10, largeShare: large}
}

// DesignLoad returns the load at the size to design for. A large account sends the given share of it, from 0 to 1.
func DesignLoad(large float64) Load {
	return Load{seed: 20261204, entries: 1000, centres: 11, callers: 50_000, largeCallers: 100, largeShare: large}
}

var scenarios = []struct {
	name string
	load Load
}{
	{"9 entries, 200 callers alike", CurrentLoad(0)},
	{"9 entries, one account of 10 callers has a third", CurrentLoad(1.0 / 3)},
	{"1,000 entries, 50,000 callers alike", DesignLoad(0)},
	{"1,000 entries, one account of 100 callers has a tenth", DesignLoad(0.1)},
}

func compare(out io.Writer) {
	for _, s := range scenarios {
		_, _ = fmt.Fprintf(out, "\n%s\n\n", s.name)
		_, _ = fmt.Fprintln(out, "| way | busiest entry over mean, median | worst | least, median |"+
			" worst in the minute after one entry is lost | sent to the lost entry |")
		_, _ = fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- |")
		for _, strategy := range Strategies {
			r := Run(s.load, strategy)
			_, _ = fmt.Fprintf(out, "| %s | %.2f | %.2f | %.2f | %.2f | %.2f%% |\n", strategy.name, r.Busiest(50), r.Busiest(100),
				r.leastBusy, r.worstAfterLoss, 100*r.refusedRatio)
		}
	}
}
