package commands

import (
	"context"
	"io"
	"os"
	"os/user"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/storer"
)

// Kind classifies why a command failed.
type Kind string

// The kinds of failure.
const (
	KindUsage  Kind = "usage"
	KindFiles  Kind = "files"
	KindFailed Kind = "failed"
	// KindLagging is the kind of a change that is accepted but not yet in force at every entry.
	KindLagging Kind = "lagging"
	// KindWarned is the kind of a check that found nothing worse than warnings, and KindRejected of one that found errors.
	KindWarned   Kind = "warnings"
	KindRejected Kind = "errors"
)

// exitRejected is the exit code of a check that found errors; all other failures have exitFailed.
const (
	exitFailed   = 1
	exitRejected = 2
)

// ExitCode returns the exit code of a command that ended with err.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case fault.KindOf[Kind](err) == KindRejected:
		return exitRejected
	}
	return exitFailed
}

// Error reports a command that failed.
type Error = fault.Error[Kind]

const platformFlag = "platform"

// Client returns the root command of the operators' client, which prints to out.
func Client(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:           "kingcupstile",
		Usage:          "operate kingcupstile, a load balancer for expert-parallel model groups",
		Writer:         out,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{&cli.StringFlag{
			Name: platformFlag, Value: "127.0.0.1:7400", Usage: "the platform's IP address and port",
			Sources: cli.EnvVars("KINGCUPSTILE_PLATFORM"),
		}},
		Commands: []*cli.Command{
			checkCommand(out),
			publishCommand(out),
			statusCommand(out),
			auditCommand(out),
			drainCommand(out),
			hashCommand(out),
			siteCommand(out),
			explainCommand(out),
			demoCommand(out),
			standaloneCommand(out),
		},
	}
}

func newStore(c *cli.Command) *storer.Storer { return storer.New(c.String(platformFlag)) }

func newPublisher(c *cli.Command) *publisher.Publisher {
	return publisher.New(newStore(c), translator.CatalogCodec{})
}

// authorFlag returns the flag for the author that the audit trail records with a change.
func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Value: author(), Usage: "the author of the change, for the audit trail"}
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}
