package commands

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/kingcupstile/kingcupstile/commands/demo"
	"github.com/kingcupstile/kingcupstile/standin/engine"
	"github.com/kingcupstile/kingcupstile/standin/platform"
	"github.com/kingcupstile/kingcupstile/standin/shop"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

func demoCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run entries, endpoints and stand-ins in one process, send requests and check the answers",
		Action: func(ctx context.Context, _ *cli.Command) error {
			return demo.Run(ctx, out)
		},
	}
}

// defaultBase is the port of the platform's stand-in; the other ports in examples/settings are offsets from it.
const defaultBase = 7400

// standaloneRanks is the number of ranks in the stand-in engine's group.
const standaloneRanks = 4

func standaloneCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "standalone",
		Usage: "serve stand-ins of the platform, a model engine and a plain service on the ports that examples/settings use",
		Flags: []cli.Flag{&cli.IntFlag{
			Name: "base", Value: defaultBase, Usage: "the platform's port on loopback; the other ports are offsets from it",
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			base := c.Int("base")
			store := platform.New()
			for _, vm := range standaloneVMs(base) {
				store.PutVM(vm)
			}
			group := engine.NewGroup(standaloneRanks)
			handlers := map[string]http.Handler{
				loopback(base):      platform.Handler(store),
				loopback(base + 14): engine.New(group).Handler(),
				loopback(base + 24): shop.New().Handler(),
			}
			for address, handler := range handlers {
				l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
				if err != nil {
					return fault.New("standalone", KindFailed, err)
				}
				server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
				defer func() { _ = server.Close() }()
				go func() { _ = server.Serve(l) }()
			}
			_, _ = fmt.Fprintf(out, "stand-ins serve; the platform is at %s\n", loopback(base))
			stop, release := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer release()
			<-stop.Done()
			return nil
		},
	}
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// standaloneVMs returns the VMs of the daemons in examples/settings.
func standaloneVMs(base int) []roster.VM {
	centre := roster.Centre("kgl-a")
	return []roster.VM{
		roster.NewVM("entry-1", roster.RoleEntry, centre, roster.CallerAddress(loopback(base+1)), roster.PeerAddress(loopback(base+2))),
		roster.NewVM("draft-1", roster.RoleEndpoint, centre, roster.Pool("kingcup-pool"), roster.PeerAddress(loopback(base+12))),
		roster.NewVM("desk-1", roster.RoleEndpoint, centre, roster.Pool("slip-desk"), roster.PeerAddress(loopback(base+22))),
	}
}
