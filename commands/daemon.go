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

// Daemon returns the root command of the daemon, which logs to out.
func Daemon(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:           "kingcupstiled",
		Usage:          "run an entry or an endpoint process as a settings file says",
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
			stop, kill, release := shutdownContexts(ctx)
			defer release()
			return daemon.New(settings, daemon.Log(logger.New(out, logger.Level(settings.Level)))).Run(stop, kill)
		},
	}
}

// shutdownContexts returns a context that ends at the first SIGTERM or SIGINT, one that ends at the second, and a
// function that ends both and restores the default handling of the signals.
func shutdownContexts(ctx context.Context) (stop, kill context.Context, release func()) {
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	stop, cancelStop := context.WithCancel(ctx)
	kill, cancelKill := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		for _, cancel := range []context.CancelFunc{cancelStop, cancelKill} {
			select {
			case <-received:
				cancel()
			case <-done:
				return
			}
		}
	}()
	return stop, kill, func() {
		signal.Stop(received)
		close(done)
		cancelStop()
		cancelKill()
	}
}
