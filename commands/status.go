package commands

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/coordination/surveyor"
	"github.com/kingcupstile/kingcupstile/state/member"
	"github.com/kingcupstile/kingcupstile/state/roster"
	"github.com/kingcupstile/kingcupstile/transport/exchanger"
)

func statusCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the version in force, the services, the VMs, and the state that each entry reports",
		Action: func(ctx context.Context, c *cli.Command) error {
			current, err := newPublisher(c).Read(ctx)
			if err != nil {
				return err
			}
			list, err := newStore(c).VMs(ctx, 0)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			_, _ = fmt.Fprintf(w, "version %d\n\nSERVICE\tMODE\tPOOL\tACCOUNTS\tFILE\n", current.Version())
			for _, s := range current.Services() {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", s.Name(), s.Mode(), s.Pool(), len(s.Grants()), s.Source())
			}
			_, _ = fmt.Fprintf(w, "\nVM\tROLE\tCENTRE\tPOOL\tSTATUS\n")
			for _, vm := range list.VMs() {
				status := string(vm.Status())
				if current.IsDrained(vm.Name()) {
					status = "drained"
				}
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", vm.Name(), vm.Role(), vm.Centre(), vm.Pool(), status)
			}
			writeEntries(ctx, w, list)
			return w.Flush()
		},
	}
}

// writeEntries writes what each entry reports: the version in force there and the highest version that it heard of, the
// version of its VM list, the time since the platform confirmed the highest version, and its peers.
func writeEntries(ctx context.Context, w io.Writer, list roster.Roster) {
	_, _ = fmt.Fprintf(w, "\nENTRY\tVERSION\tHEARD OF\tVM LIST\tAGE\tRELAY\tALIVE PEERS\tDEPARTED\n")
	for _, reply := range surveyor.New(exchanger.New()).Ask(ctx, list) {
		s := reply.Status()
		if reply.Err() != nil {
			_, _ = fmt.Fprintf(w, "%s\tno answer\n", reply.VM().Name())
			continue
		}
		age := "never"
		if s.Age != member.Never {
			age = s.Age.Round(time.Millisecond).String()
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%t\t%d\t%s\n",
			reply.VM().Name(), s.Version, s.Highest, s.Roster, age, s.Relay, s.Alive, strings.Join(s.Departed, ","))
	}
}
