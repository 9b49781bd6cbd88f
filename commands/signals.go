package commands

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/kingcupstile/kingcupstile/transport/logger"
)

// handleSignals returns a context that ends at the first SIGTERM or SIGINT, one that ends at the second, a channel that
// receives each SIGHUP, and a function that ends both contexts and restores the default handling of the signals. A daemon
// calls it before it does anything else and releases it last, as the default action of each of these signals ends the
// process with the requests in progress. SIGPIPE is ignored, as a daemon goes on when nobody reads its log.
func handleSignals(ctx context.Context) (stop, kill context.Context, hangups <-chan os.Signal, release func()) {
	received, reloads := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
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
	return stop, kill, reloads, func() {
		signal.Stop(received)
		signal.Stop(reloads)
		signal.Reset(syscall.SIGPIPE)
		close(done)
		cancelStop()
		cancelKill()
	}
}

// reloadLevel reads the log level again at each SIGHUP until ctx ends, which is after the daemon has drained; readLevel also
// returns whether other settings, which take effect at the next start, have changed.
func reloadLevel(
	ctx context.Context, hangups <-chan os.Signal, level *slog.LevelVar, log *slog.Logger,
	readLevel func() (next string, othersChanged bool, err error),
) {
	for {
		select {
		case <-hangups:
		case <-ctx.Done():
			return
		}
		next, othersChanged, err := readLevel()
		if err != nil {
			log.Warn("reloading settings failed; log level stays as it is", "error", err)
			continue
		}
		level.Set(logger.Level(next))
		log.Info("settings reloaded; only the log level takes effect before a restart", "level", next, "others_changed", othersChanged)
	}
}
