package beater

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/state/peer"
)

const (
	// maxDatagramSize is the most bytes of a datagram.
	maxDatagramSize = 64 << 10
)

// Beater sends and receives heartbeats on one socket.
type Beater struct {
	socket net.PacketConn
	log    *slog.Logger
}

// New returns a beater on a socket, which it closes when Run ends.
func New(socket net.PacketConn, log *slog.Logger) *Beater {
	return &Beater{socket: socket, log: log}
}

// Run sends each peer the beat for it that speak returns, again after the time that it returns, and hands what it hears to
// hear until ctx ends.
func (b *Beater) Run(ctx context.Context, speak func() (map[string]peer.Beat, time.Duration), hear func(peer.Beat)) {
	stop := context.AfterFunc(ctx, func() { _ = b.socket.Close() })
	defer stop()
	go b.listen(ctx, hear)
	for {
		beats, every := speak()
		for address, beat := range beats {
			if err := b.send(address, beat); err != nil {
				b.log.Debug("heartbeat not sent", "to", address, "error", err)
			}
		}
		timer := time.NewTimer(every)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (b *Beater) send(to string, beat peer.Beat) error {
	datagram, err := messenger.EncodeEntryBeat(beat)
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

func (b *Beater) listen(ctx context.Context, hear func(peer.Beat)) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, _, err := b.socket.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				b.log.Warn("heartbeats unheard", "error", err)
			}
			return
		}
		beat, err := messenger.DecodeEntryBeat(buffer[:n])
		if err != nil {
			b.log.Warn("heartbeat not understood", "error", err)
			continue
		}
		hear(beat)
	}
}
