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

// Kind classifies a command's failure.
type Kind string

// The kinds of failure.
const (
	KindUsage  Kind = "usage"
	KindFiles  Kind = "files"
	KindFailed Kind = "failed"
	// KindLagging says that a change is accepted but not in force everywhere yet.
	KindLagging Kind = "lagging"
)

// Error is a command that did not do what it was asked.
type Error = fault.Error[Kind]

const platformFlag = "platform"

// Client returns the operators' client, which writes to out.
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

func store(c *cli.Command) *storer.Storer { return storer.New(c.String(platformFlag)) }

func newPublisher(c *cli.Command) *publisher.Publisher {
	return publisher.New(store(c), translator.CatalogCodec{})
}

// authorFlag names who makes a change, for the audit trail.
func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Value: author(), Usage: "who makes the change"}
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}
