package main

import (
	"context"
	"fmt"
	"os"

	"github.com/kingcupstile/kingcupstile/commands"
)

func main() {
	if err := commands.Client(os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(commands.ExitCode(err))
	}
}
