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

// Command returns the command that runs consecutive seeds and writes a line for each to out.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run entry daemons under random faults and check what callers and runners observe",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "runs", Value: 10, Usage: "number of consecutive seeds to run"},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed, random if not given"},
			&cli.DurationFlag{Name: "time", Value: 8 * time.Second, Usage: "how long faults are injected in each run"},
			&cli.BoolFlag{Name: "drills", Value: true, Usage: "have the store come back from older copies beside the other faults"},
			&cli.StringFlag{Name: "logs", Usage: "folder for the logs of the entries, a temporary one if not given"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			logFolder, firstSeed := c.String("logs"), c.Uint64("seed")
			if logFolder == "" {
				var err error
				if logFolder, err = os.MkdirTemp("", "kingcup-soak"); err != nil {
					return fault.New("make folder", KindSetup, err)
				}
			}
			if firstSeed == 0 {
				firstSeed = rand.Uint64N(1 << 32)
			}
			return runAll(ctx, out, logFolder, firstSeed, c.Int("runs"), c.Duration("time"), Drills(c.Bool("drills")))
		},
	}
}

// runAll runs consecutive seeds and prints the result of each, with the faults and violations of a failed one. It
// returns a KindBroken error if any run violated a guarantee.
func runAll(
	ctx context.Context, out io.Writer, logFolder string, firstSeed uint64, runs int, faultTime time.Duration, options ...Option,
) error {
	binary, err := Build(ctx, logFolder)
	if err != nil {
		return err
	}
	failed := 0
	for n := range uint64(runs) {
		r, err := Run(ctx, firstSeed+n, binary, logFolder, faultTime, options...)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "seed %d: %d requests, %d served, %d refused, %d faults, %d guarantees violated\n",
			r.Seed, r.Requests, r.Served, r.Refused, len(r.Faults), len(r.Violations))
		if len(r.Violations) == 0 {
			continue
		}
		failed++
		for _, line := range append(r.Faults, r.Violations...) {
			_, _ = fmt.Fprintln(out, "  "+line)
		}
	}
	_, _ = fmt.Fprintf(out, "%d of %d runs violated a guarantee; logs in %s\n", failed, runs, logFolder)
	if failed > 0 {
		return fault.Newf("soak", KindBroken, "%d of %d runs violated a guarantee", failed, runs)
	}
	return nil
}
