package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/lab/capacity"
	"github.com/kingcupstile/kingcupstile/lab/drill"
	"github.com/kingcupstile/kingcupstile/lab/entries"
	"github.com/kingcupstile/kingcupstile/lab/experts"
	"github.com/kingcupstile/kingcupstile/lab/load"
	"github.com/kingcupstile/kingcupstile/lab/path"
	"github.com/kingcupstile/kingcupstile/lab/picking"
	"github.com/kingcupstile/kingcupstile/lab/soak"
	"github.com/kingcupstile/kingcupstile/lab/spread"
)

func main() {
	lab := &cli.Command{
		Name:  "lab",
		Usage: "measure the project's own code on this machine",
		Commands: []*cli.Command{
			capacity.Command(os.Stdout),
			drill.Command(os.Stdout),
			experts.Command(os.Stdout),
			entries.Command(os.Stdout),
			load.Command(os.Stdout),
			path.Command(os.Stdout),
			soak.Command(os.Stdout),
			spread.Command(os.Stdout),
			picking.Command(os.Stdout),
			picking.SubsetsCommand(os.Stdout),
		},
	}
	if err := lab.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
