package prober

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// maxDatagramSize is the size in bytes of the buffer for a received datagram.
const maxDatagramSize = 512

// Client sends probes; it implements the root package's Prober.
type Client struct {
	socket net.PacketConn
	port   uint16
	log    *slog.Logger
	mu     sync.Mutex
	// waiting holds the probes without a reply by their ID.
	waiting map[uint64]question
}

// question is a probe that waits for its reply.
type question struct {
	address string
	replies chan<- reply
}

// reply is the load of the runner at an address.
type reply struct {
	address string
	load    rank.Load
}

// NewClient returns a client on a socket; the processes beside runners listen for probes at the given port of the
// runners' IP addresses. It gets no replies before Run is called.
func NewClient(socket net.PacketConn, port uint16, log *slog.Logger) *Client {
	return &Client{socket: socket, port: port, log: log, waiting: map[uint64]question{}}
}

// Run receives replies until ctx ends, and then closes the socket.
func (c *Client) Run(ctx context.Context) {
	receive(ctx, c.socket, c.log, func(datagram []byte, _ net.Addr) error {
		r, err := messenger.DecodeProbeReply(datagram)
		if err != nil {
			return err
		}
		c.mu.Lock()
		q, found := c.waiting[r.ID]
		delete(c.waiting, r.ID)
		c.mu.Unlock()
		if found {
			q.replies <- reply{address: q.address, load: r.Load}
		}
		return nil
	})
}

// Probe returns the loads of runners by address, of those that answer in time.
func (c *Client) Probe(ctx context.Context, addresses []string, wait time.Duration) map[string]rank.Load {
	// Each question is answered at most once, so that the receiver never blocks.
	replies := make(chan reply, len(addresses))
	ids := make([]uint64, 0, len(addresses))
	sent := 0
	for _, address := range addresses {
		id := rand.Uint64()
		c.mu.Lock()
		c.waiting[id] = question{address: address, replies: replies}
		c.mu.Unlock()
		ids = append(ids, id)
		if c.send(address, messenger.Probe{ID: id}) {
			sent++
		}
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, id := range ids {
			delete(c.waiting, id)
		}
	}()
	loads := map[string]rank.Load{}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	extended := false
	for len(loads) < sent {
		select {
		case r := <-replies:
			loads[r.address] = r.load
			if extended {
				return loads
			}
		case <-timer.C:
			if len(loads) > 0 || extended {
				return loads
			}
			extended = true
			timer.Reset(wait)
		case <-ctx.Done():
			return loads
		}
	}
	return loads
}

// Announce tells the process beside a runner that a request is about to be sent to the runner.
func (c *Client) Announce(address string) { c.send(address, messenger.Probe{Announce: true}) }

// send sends a probe to the process beside the runner at an address, and reports whether that was possible.
func (c *Client) send(address string, p messenger.Probe) bool {
	runner, err := netip.ParseAddrPort(address)
	if err != nil {
		return false
	}
	datagram, err := messenger.EncodeProbe(p)
	if err != nil {
		return false
	}
	_, err = c.socket.WriteTo(datagram, net.UDPAddrFromAddrPort(netip.AddrPortFrom(runner.Addr(), c.port)))
	if err != nil {
		c.log.Debug("sending a load probe failed; the runner's load stays unknown", "runner", address, "error", err)
	}
	return err == nil
}
