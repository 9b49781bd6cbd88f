package commands

import (
	"context"
	"io"
	"log/slog"
	"os"

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
			stop, kill, hangups, release := handleSignals(ctx)
			defer release()
			file := c.Args().First()
			settings, err := readSettings(file)
			if err != nil {
				return err
			}
			level := &slog.LevelVar{}
			level.Set(logger.Level(settings.Level))
			log := logger.New(out, level)
			running, ended := context.WithCancel(ctx)
			defer ended()
			go reloadLevel(running, hangups, level, log, func() (string, bool, error) {
				next, err := readSettings(file)
				return next.Level, !next.IsSameExceptLevel(settings), err
			})
			return daemon.New(settings, daemon.Log(log)).Run(stop, kill)
		},
	}
}

func readSettings(file string) (parser.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return parser.Settings{}, fault.New("run daemon", KindFiles, err)
	}
	settings, err := parser.ParseSettings(file, text)
	if err != nil {
		return parser.Settings{}, fault.New("run daemon", KindFiles, err)
	}
	return settings, nil
}
