package commands

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

func auditCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "list the changes of the configuration, with time, author and versions",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: "after", Usage: "list only changes that made a version above this one"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			p := newPublisher(c)
			current, err := p.Read(ctx)
			if err != nil {
				return err
			}
			records, err := p.Records(ctx, current, c.Uint64("after"))
			if err != nil {
				return err
			}
			for _, r := range records {
				_, _ = fmt.Fprintf(out, "%s %s %d -> %d\n", r.At().UTC().Format(time.RFC3339), r.Author(), r.From(), r.To())
				for _, line := range r.Changes() {
					_, _ = fmt.Fprintln(out, "  "+line)
				}
			}
			return nil
		},
	}
}
