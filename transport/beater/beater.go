package beater

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/transport/receiver"
)

const (
	// maxDatagramSize is the size in bytes of the buffer for a received datagram.
	maxDatagramSize = 64 << 10
)

// Beater sends and receives heartbeats on one UDP socket.
type Beater struct {
	socket net.PacketConn
	log    *slog.Logger
}

// New returns a beater on a socket, which is closed when the context of Run ends.
func New(socket net.PacketConn, log *slog.Logger) *Beater {
	return &Beater{socket: socket, log: log}
}

// Run sends heartbeats and passes received ones to receive until ctx ends. Each round sends the heartbeats that next
// returns, by address, and then waits for the interval that it returns.
func (b *Beater) Run(ctx context.Context, next func() (map[string]peer.Heartbeat, time.Duration), receive func(peer.Heartbeat)) {
	go b.receive(ctx, receive)
	for {
		heartbeats, interval := next()
		for address, heartbeat := range heartbeats {
			if err := b.send(address, heartbeat); err != nil {
				b.log.Debug("sending a heartbeat failed; the next one follows at the usual interval", "to", address, "error", err)
			}
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (b *Beater) send(to string, heartbeat peer.Heartbeat) error {
	datagram, err := messenger.EncodeEntryHeartbeat(heartbeat)
	if err != nil {
		return err
	}
	address, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		return err
	}
	_, err = b.socket.WriteTo(datagram, address)
	return err
}

func (b *Beater) receive(ctx context.Context, handle func(peer.Heartbeat)) {
	receiver.Receive(ctx, b.socket, maxDatagramSize, func(datagram []byte, _ net.Addr) {
		heartbeat, err := messenger.DecodeEntryHeartbeat(datagram)
		if err != nil {
			b.log.Warn("datagram is not a valid heartbeat; ignored", "error", err)
			return
		}
		handle(heartbeat)
	}, func(err error) { b.log.Warn("reading heartbeats failed; reading on", "error", err) })
}
