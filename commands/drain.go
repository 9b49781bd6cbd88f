package commands

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

func drainCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "send no new requests to VMs, or with --undo send them requests again",
		ArgsUsage: "VM…",
		Flags:     append(changeFlags(), &cli.BoolFlag{Name: "undo", Usage: "send requests to the VMs again"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			names := c.Args().Slice()
			if len(names) == 0 {
				return fault.Newf("drain", KindUsage, "name at least one VM")
			}
			if c.Bool("undo") {
				return publish(ctx, out, c, publisher.Change{Undrain: names})
			}
			return publish(ctx, out, c, publisher.Change{Drain: names})
		},
	}
}
