package commands

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/coordination/publisher"
	"github.com/kingcupstile/kingcupstile/coordination/surveyor"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/exchanger"
)

func publishCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "put service and account files in force in one conditional update",
		ArgsUsage: "FILE|FOLDER…",
		Flags: append(changeFlags(),
			&cli.Uint64Flag{Name: "base", Usage: "the version that the files are based on (default: the version in force)"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			bundle, err := parsePaths(c.Args().Slice())
			if err != nil {
				return err
			}
			return publish(ctx, out, c, publisher.Change{Services: bundle.Services, Accounts: bundle.Accounts})
		},
	}
}

// changeFlags returns the flags that every command has that changes the configuration.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		authorFlag(),
		&cli.StringFlag{Name: "writer", Usage: "the identifier printed by an earlier try that ended unsettled"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force at every entry"},
		&cli.DurationFlag{Name: "patience", Value: 10 * time.Second, Usage: "how long to wait at most with --wait"},
	}
}

// publish publishes a change and prints the result. If the change was based on an outdated version, it prints what
// others published since; if the outcome is unknown, it prints the flags with which to try again.
func publish(ctx context.Context, out io.Writer, c *cli.Command, change publisher.Change) error {
	p := newPublisher(c)
	change.Author, change.Base, change.IdempotencyKey = c.String("author"), c.Uint64("base"), c.String("writer")
	if !c.IsSet("base") {
		current, err := p.Read(ctx)
		if err != nil {
			return err
		}
		change.Base = current.Version()
	}
	result, err := p.Publish(ctx, change)
	if result.Status == "" {
		if result.IdempotencyKey != "" {
			_, _ = fmt.Fprintf(out, "unsettled: it may take effect; try again with --base %d --writer %s\n", change.Base, result.IdempotencyKey)
		}
		return err
	}
	_, _ = fmt.Fprintf(out, "%s: version %d is in force\n", result.Status, result.Catalog.Version())
	for _, line := range result.Changes {
		_, _ = fmt.Fprintln(out, "  "+line)
	}
	for _, r := range result.Others {
		_, _ = fmt.Fprintf(out, "  %s published version %d at %s:\n", r.Author(), r.To(), r.At().UTC().Format(time.RFC3339))
		for _, line := range r.Changes() {
			_, _ = fmt.Fprintln(out, "    "+line)
		}
	}
	if err != nil || !c.Bool("wait") {
		return err
	}
	return waitForEntries(ctx, out, c, result.Catalog.Version())
}

// waitForEntries waits until a version is in force at every entry. If that takes longer than --patience, it prints the
// entries that lag and returns an Error of KindLagging.
func waitForEntries(ctx context.Context, out io.Writer, c *cli.Command, version uint64) error {
	list, err := newStore(c).VMs(ctx, 0)
	if err != nil {
		return err
	}
	began := time.Now()
	waiting, cancel := context.WithTimeout(ctx, c.Duration("patience"))
	defer cancel()
	lagging := surveyor.New(exchanger.New()).Await(waiting, list, version)
	if len(lagging) == 0 {
		_, err := fmt.Fprintf(out, "version %d is in force at every entry after %v\n", version, time.Since(began).Round(time.Millisecond))
		return err
	}
	for _, reply := range lagging {
		_, _ = fmt.Fprintf(out, "  %s lags: %s\n", reply.VM().Name(), describeReply(reply))
	}
	return fault.Newf("publish", KindLagging, "%d entries lag behind version %d", len(lagging), version)
}

// describeReply returns the version in force at an entry, or that the entry did not answer.
func describeReply(r surveyor.Reply) string {
	if r.Err() != nil {
		return "no answer"
	}
	return fmt.Sprintf("version %d", r.Status().Version)
}
