package commands

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/platform"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// siteCommand returns the command that prints the configuration, entries and runners in the users' platform's store.
func siteCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "site",
		Usage:     "print the configuration, entries and runners in the store of the users' platform, without changing it",
		ArgsUsage: "STORE",
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return fault.Newf("show site", KindUsage, "name the IP address and port of the platform's store")
			}
			log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelWarn}))
			return writeSite(ctx, out, platform.NewClient(c.Args().First()), log)
		},
	}
}

func writeSite(ctx context.Context, out io.Writer, client *platform.Client, log *slog.Logger) error {
	tables, err := platform.Config(client, log).List(ctx)
	if err != nil {
		return fault.New("show site", KindFailed, err)
	}
	runners, err := platform.Runners(client, log).List(ctx)
	if err != nil {
		return fault.New("show site", KindFailed, err)
	}
	entries, err := platform.Entries(client, translator.PeerCodec{}, log).List(ctx)
	if err != nil {
		return fault.New("show site", KindFailed, err)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, t := range tables.Items {
		routes := 0
		for _, list := range t.Hosts() {
			routes += len(list)
		}
		_, _ = fmt.Fprintf(w, "configuration\tversion %d\trevision %d\t%d routes\t%d services\n",
			t.Version(), t.Position().Revision, routes, len(t.Services()))
	}
	slices.SortFunc(entries.Items, func(a, b peer.Peer) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range entries.Items {
		_, _ = fmt.Fprintf(w, "entry\t%s\t%s\t%s\n", e.Name, e.Centre, e.Callers)
	}
	for _, r := range runner.NewSet(runners.Items...).All() {
		state := "leaving"
		if r.IsReady() {
			state = "ready"
		}
		_, _ = fmt.Fprintf(w, "runner\t%s\t%s\t%s\t%s\t%s\n", r.ID(), r.Centre(), r.Address(), r.Service(), state)
	}
	if err := w.Flush(); err != nil {
		return fault.New("show site", KindFailed, err)
	}
	return nil
}
