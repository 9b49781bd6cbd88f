package commands

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/protocol/parser"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/daemon"
	"github.com/kingcupstile/kingcupstile/transport/logger"
)

// Daemon returns the command of the daemon binary, which logs to out.
func Daemon(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:           "kingcupstiled",
		Usage:          "run the role that a settings file names",
		ArgsUsage:      "SETTINGS",
		Commands:       []*cli.Command{serveCommand(out)},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fault.Newf("run daemon", KindUsage, "name one settings file")
			}
			file := c.Args().First()
			text, err := os.ReadFile(file)
			if err != nil {
				return fault.New("run daemon", KindFiles, err)
			}
			settings, err := parser.ParseSettings(file, text)
			if err != nil {
				return fault.New("run daemon", KindFiles, err)
			}
			stop, kill, release := signals(ctx)
			defer release()
			return daemon.New(settings, daemon.Log(logger.New(out, logger.Level(settings.Level)))).Run(stop, kill)
		},
	}
}

// signals returns a context that ends at the first signal to stop, and one that ends at the second.
func signals(ctx context.Context) (stop, kill context.Context, release func()) {
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	stop, stopNow := context.WithCancel(ctx)
	kill, killNow := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		for _, end := range []context.CancelFunc{stopNow, killNow} {
			select {
			case <-received:
				end()
			case <-done:
				return
			}
		}
	}()
	return stop, kill, func() {
		signal.Stop(received)
		close(done)
		stopNow()
		killNow()
	}
}
