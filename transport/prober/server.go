package prober

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/reserver"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/transport/receiver"
)

// Serve answers the probes that arrive at a socket until ctx ends, and then closes the socket. It does not answer while
// the runner's load is unknown.
func Serve(ctx context.Context, socket net.PacketConn, book *reserver.Reserver, now func() time.Duration, log *slog.Logger) {
	receive(ctx, socket, log, func(datagram []byte, from net.Addr) error {
		p, err := messenger.DecodeProbe(datagram)
		if err != nil {
			return err
		}
		if p.Announce {
			book.Announce(now())
			return nil
		}
		load, known := book.Load(now())
		if !known {
			return nil
		}
		answer, err := messenger.EncodeProbeReply(messenger.ProbeReply{ID: p.ID, Load: load})
		if err != nil {
			return err
		}
		_, err = socket.WriteTo(answer, from)
		return err
	})
}

// receive passes each datagram to handle until ctx ends, and then closes the socket.
func receive(ctx context.Context, socket net.PacketConn, log *slog.Logger, handle func(datagram []byte, from net.Addr) error) {
	receiver.Receive(ctx, socket, maxDatagramSize, func(datagram []byte, from net.Addr) {
		if err := handle(datagram, from); err != nil {
			log.Debug("load probe not answered", "from", from, "error", err)
		}
	}, func(err error) { log.Debug("reading a load probe failed; reading on", "error", err) })
}
