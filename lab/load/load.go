package load

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

const seed = 20261204

// Command returns the experiment's command, which writes its tables to out.
func Command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "simulate overload, account limits and a crashing request with the production decision code",
		Flags: []cli.Flag{&cli.StringFlag{Name: "only", Usage: "run only this experiment: surge, share, limit, traffic or crash"}},
		Action: func(_ context.Context, c *cli.Command) error {
			for _, experiment := range []struct {
				name string
				run  func(io.Writer) error
			}{
				{"surge", surge}, {"share", share}, {"limit", limits}, {"traffic", traffic}, {"crash", crash},
			} {
				if only := c.String("only"); only != "" && only != experiment.name {
					continue
				}
				if err := experiment.run(out); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// table writes a title and the heading of a Markdown table.
func table(out io.Writer, title string, columns ...string) {
	_, _ = fmt.Fprintf(out, "\n%s\n\n", title)
	row(out, columns...)
	row(out, strings.Split(strings.TrimSuffix(strings.Repeat("---,", len(columns)), ","), ",")...)
}

func row(out io.Writer, cells ...string) {
	_, _ = fmt.Fprintf(out, "| %s |\n", strings.Join(cells, " | "))
}
