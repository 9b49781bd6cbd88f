package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Command returns the command that runs seeds one after the other.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run real entries under random faults and check what callers and runners see",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "runs", Value: 10, Usage: "how many seeds"},
			&cli.Uint64Flag{Name: "seed", Usage: "the first seed, drawn if it is not given"},
			&cli.DurationFlag{Name: "time", Value: 8 * time.Second, Usage: "how long faults come in each run"},
			&cli.StringFlag{Name: "logs", Usage: "the folder for the entries' logs, a temporary one if it is not given"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			folder, first := c.String("logs"), c.Uint64("seed")
			if folder == "" {
				var err error
				if folder, err = os.MkdirTemp("", "kingcup-soak"); err != nil {
					return fault.New("make folder", KindSetup, err)
				}
			}
			if first == 0 {
				first = rand.Uint64N(1 << 32)
			}
			return runAll(ctx, out, folder, first, c.Int("runs"), c.Duration("time"))
		},
	}
}

// runAll runs seeds one after the other and reports each; its error says that a promise was broken.
func runAll(ctx context.Context, out io.Writer, folder string, first uint64, runs int, length time.Duration) error {
	binary, err := Build(ctx, folder)
	if err != nil {
		return err
	}
	broken := 0
	for n := range uint64(runs) {
		r, err := Run(ctx, first+n, binary, folder, length)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "seed %d: %d requests, %d served, %d refused, %d faults, %d promises broken\n",
			r.Seed, r.Requests, r.Served, r.Refused, len(r.Faults), len(r.Broken))
		if len(r.Broken) == 0 {
			continue
		}
		broken++
		for _, line := range append(r.Faults, r.Broken...) {
			_, _ = fmt.Fprintln(out, "  "+line)
		}
	}
	_, _ = fmt.Fprintf(out, "%d of %d runs broke a promise; logs in %s\n", broken, runs, folder)
	if broken > 0 {
		return fault.Newf("soak", KindBroken, "%d of %d runs broke a promise", broken, runs)
	}
	return nil
}
