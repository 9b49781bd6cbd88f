package commands

import (
	"context"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/platform"
	"github.com/kingcupstile/kingcupstile/protocol/parser"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/caretaker"
	"github.com/kingcupstile/kingcupstile/transport/gateway"
	"github.com/kingcupstile/kingcupstile/transport/logger"
	"github.com/kingcupstile/kingcupstile/transport/meter"
	"github.com/kingcupstile/kingcupstile/transport/timekeeper"
)

const settingsFlag = "settings"

// maxLookupTTL bounds how long callers may cache the list of entries, so that they soon stop using a leaving entry.
const maxLookupTTL = 2 * time.Second

// heapShare is the share of the process's memory from which on garbage is collected without waiting for the heap to double; the
// rest is for the kernel's buffers of its connections.
const heapShare = 0.65

// serveCommand returns the command that runs a daemon on the users' platform.
func serveCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry or an endpoint process on the users' platform, as the settings say",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: settingsFlag, Usage: "the settings file", Required: true, Sources: cli.EnvVars(platform.SettingsVariable),
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			stop, _, hangups, release := handleSignals(ctx)
			defer release()
			file := c.String(settingsFlag)
			settings, err := readPlatformSettings(file)
			if err != nil {
				return err
			}
			if settings.Memory > 0 {
				debug.SetMemoryLimit(int64(heapShare * float64(settings.Memory<<20)))
			}
			queue := logger.NewQueue(out)
			defer queue.Close()
			level := &slog.LevelVar{}
			level.Set(logger.Level(settings.Level))
			log := logger.New(queue, level)
			running, ended := context.WithCancel(ctx)
			defer ended()
			go reloadLevel(running, hangups, level, log, func() (string, bool, error) {
				next, err := readPlatformSettings(file)
				return next.Level, !next.IsSameExceptLevel(settings), err
			})
			return servePlatform(stop, settings, log)
		},
	}
}

func readPlatformSettings(file string) (parser.PlatformSettings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return parser.PlatformSettings{}, fault.New("run daemon", KindFiles, err)
	}
	settings, err := parser.ParsePlatformSettings(file, text)
	if err != nil {
		return parser.PlatformSettings{}, fault.New("run daemon", KindFiles, err)
	}
	return settings, nil
}

// servePlatform runs an entry or an endpoint process, as the settings say, until stop ends.
func servePlatform(stop context.Context, settings parser.PlatformSettings, log *slog.Logger) error {
	metrics := meter.New()
	client, codec := platform.NewClient(settings.Store, platform.Observe(countCalls(metrics)), platform.EraMissing(log, func() {
		metrics.ReportCounter("kingcup_store_era_missing", nil, 1)
	})), translator.PeerCodec{}
	warming := warmingOption(settings)
	config, runners := platform.Config(client, log), platform.Runners(client, log, warming)
	if settings.Role == "endpoint" {
		return caretaker.New(settings, caretaker.Dependencies{
			Config: config, Runners: runners, Clock: timekeeper.Clock{}, Meter: metrics,
			Worker: func(address string) kingcupstile.Worker { return platform.NewWorker(address) },
			Health: func(address string) kingcupstile.HealthChecker { return platform.NewHealthChecker(address) },
		}, log).Run(stop)
	}
	replica := platform.NewReplica()
	return gateway.New(settings, gateway.Dependencies{
		Config:      config.WithReplica(replica),
		Runners:     runners.WithReplica(replica),
		Entries:     platform.Entries(client, codec, log).WithReplica(replica),
		Evacuations: platform.Evacuations(client, log).WithReplica(replica),
		Registry:    platform.EntryRegistry(client, codec),
		Copies: func(address string) gateway.Copies {
			near := platform.NewClient(address, platform.ForReplica(), platform.SharedEra(client))
			return gateway.Copies{
				Config: platform.Config(near, log).WithReplica(replica), Runners: platform.Runners(near, log, warming).WithReplica(replica),
				Entries:     platform.Entries(near, codec, log).WithReplica(replica),
				Evacuations: platform.Evacuations(near, log).WithReplica(replica),
			}
		},
		Replica: replica.Handler(),
		Meter:   metrics,
		Dialect: platform.Dialect{},
		Clock:   timekeeper.Clock{},
		Lookup:  platform.Lookup(min(maxLookupTTL, settings.LookupTTL)),
		Ready:   platform.Ready,
	}, log).Run(stop)
}

// warmingOption returns the option by which runners say when they are warm, where the load of cold ones is limited.
func warmingOption(settings parser.PlatformSettings) platform.RunnersOption {
	if settings.ColdOverage <= 0 {
		return platform.Cold(nil)
	}
	return platform.Cold(platform.NewWarmTimes(timekeeper.Clock{}))
}

// countCalls returns a function that counts the calls to the store.
func countCalls(m *meter.Meter) func(method, kind string, outcome kingcupstile.Kind) {
	return func(method, kind string, outcome kingcupstile.Kind) {
		if outcome == "" {
			outcome = "success"
		}
		m.ReportCounter("kingcup_store_calls", map[string]string{"method": method, "kind": kind, "outcome": string(outcome)}, 1)
	}
}
