package beater

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/kingcupstile/kingcupstile/state/peer"
)

const (
	// interval is how often an entry speaks while there are few: twice a pause between events, so that what it says of
	// open work is of use.
	interval = 200 * time.Millisecond
	// perPeer is what each further entry adds to the interval, so that control traffic stays below 7 KB a second.
	perPeer = 10 * time.Millisecond
	// largest is the most bytes of a datagram.
	largest = 64 << 10
)

// Codec is the encoding of heartbeats.
type Codec interface {
	// EncodeBeat returns a heartbeat's datagram.
	EncodeBeat(b peer.Beat) ([]byte, error)
	// DecodeBeat returns the heartbeat of a datagram.
	DecodeBeat(datagram []byte) (peer.Beat, error)
}

// Beater sends and receives heartbeats on one socket.
type Beater struct {
	socket net.PacketConn
	codec  Codec
	log    *slog.Logger
}

// New returns a beater on a socket, which it closes when Run ends.
func New(socket net.PacketConn, codec Codec, log *slog.Logger) *Beater {
	return &Beater{socket: socket, codec: codec, log: log}
}

// Run sends what speak returns to the peers and hands what it hears to hear until ctx ends.
func (b *Beater) Run(ctx context.Context, speak func() (peer.Beat, []peer.Peer), hear func(peer.Beat)) {
	stop := context.AfterFunc(ctx, func() { _ = b.socket.Close() })
	defer stop()
	go b.listen(ctx, hear)
	for {
		beat, peers := speak()
		b.send(beat, peers)
		timer := time.NewTimer(max(interval, time.Duration(len(peers))*perPeer))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (b *Beater) send(beat peer.Beat, peers []peer.Peer) {
	datagram, err := b.codec.EncodeBeat(beat)
	if err != nil {
		b.log.Warn("heartbeat not sent", "error", err)
		return
	}
	for _, p := range peers {
		address, err := net.ResolveUDPAddr("udp4", p.Beats)
		if err == nil {
			_, err = b.socket.WriteTo(datagram, address)
		}
		if err != nil {
			b.log.Debug("heartbeat not sent", "entry", p.Name, "error", err)
		}
	}
}

func (b *Beater) listen(ctx context.Context, hear func(peer.Beat)) {
	buffer := make([]byte, largest)
	for {
		n, _, err := b.socket.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				b.log.Warn("heartbeats unheard", "error", err)
			}
			return
		}
		beat, err := b.codec.DecodeBeat(buffer[:n])
		if err != nil {
			b.log.Warn("heartbeat not understood", "error", err)
			continue
		}
		hear(beat)
	}
}
