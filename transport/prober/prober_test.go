package prober_test

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/reserver"
	"github.com/kingcupstile/kingcupstile/state/rank"
	"github.com/kingcupstile/kingcupstile/transport/prober"
)

// listen returns a UDP socket on a loopback address.
func listen(t *testing.T, address string) net.PacketConn {
	t.Helper()
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// TestProbes asks three runners, of which one has no process beside it and one has not reported: only the third's load is
// known, and an announcement adds to it.
func TestProbes(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	first := listen(t, "127.0.2.1:0")
	port := first.LocalAddr().(*net.UDPAddr).Port
	second := listen(t, (&net.UDPAddr{IP: net.IPv4(127, 0, 2, 2), Port: port}).String())
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	known, unknown := reserver.New(), reserver.New()
	known.Report(rank.Load{Open: 3, Epoch: 2, Step: 70, GroupOpen: true}, now())
	go prober.Serve(t.Context(), first, known, now, log)
	go prober.Serve(t.Context(), second, unknown, now, log)
	c := prober.NewClient(listen(t, "127.0.2.9:0"), uint16(port), log)
	go c.Run(t.Context())
	addresses := []string{"127.0.2.1:80", "127.0.2.2:80", "127.0.2.3:80", "nonsense"}
	want := rank.Load{Open: 3, Epoch: 2, Step: 70, GroupOpen: true}
	if got := c.Probe(t.Context(), addresses, 200*time.Millisecond); len(got) != 1 || got["127.0.2.1:80"] != want {
		t.Errorf("got %v", got)
	}
	c.Announce("127.0.2.1:80")
	for deadline := now() + 5*time.Second; ; {
		got := c.Probe(t.Context(), addresses[:1], time.Second)
		if got["127.0.2.1:80"].Open == 4 {
			break
		}
		if now() > deadline {
			t.Fatalf("got %v after an announcement", got)
		}
	}
	// Bytes that are no probe are ignored.
	if _, err := listen(t, "127.0.2.8:0").WriteTo([]byte{0xff, 1, 2}, first.LocalAddr()); err != nil {
		t.Fatal(err)
	}
	if got := c.Probe(t.Context(), addresses[:1], time.Second); len(got) != 1 {
		t.Errorf("got %v after a datagram that is no probe", got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if got := c.Probe(ctx, addresses[1:], time.Minute); len(got) != 0 {
		t.Errorf("got %v for a caller that left", got)
	}
}

// TestProbeWaitsTwiceWhileNobodyAnswers bounds the time that a request is held up when no process answers.
func TestProbeWaitsTwiceWhileNobodyAnswers(t *testing.T) {
	c := prober.NewClient(listen(t, "127.0.2.9:0"), 9, slog.New(slog.DiscardHandler))
	go c.Run(t.Context())
	start := time.Now()
	if got := c.Probe(t.Context(), []string{"127.0.2.7:80"}, 20*time.Millisecond); len(got) != 0 {
		t.Errorf("got %v", got)
	}
	if took := time.Since(start); took < 40*time.Millisecond || took > time.Second {
		t.Errorf("took %v", took)
	}
}
