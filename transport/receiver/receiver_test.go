package receiver_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/transport/receiver"
)

// flaky is a socket whose first read fails.
type flaky struct {
	net.PacketConn
	failed bool
}

func (f *flaky) ReadFrom(p []byte) (int, net.Addr, error) {
	if !f.failed {
		f.failed = true
		return 0, nil, errors.New("no buffer space")
	}
	return f.PacketConn.ReadFrom(p)
}

func TestReceiveOutlivesAFailedRead(t *testing.T) {
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	got, failures, ended := make(chan string, 1), make(chan error, 1), make(chan struct{})
	go func() {
		receiver.Receive(ctx, &flaky{PacketConn: socket}, 16,
			func(datagram []byte, _ net.Addr) { got <- string(datagram) }, func(err error) { failures <- err })
		close(ended)
	}()
	if err := <-failures; err == nil {
		t.Error("a failed read is not reported")
	}
	sender, err := net.Dial("udp4", socket.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := sender.Write([]byte("news")); err != nil {
		t.Fatal(err)
	}
	if text := <-got; text != "news" {
		t.Errorf("received %q", text)
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("receiving does not end with its context")
	}
}
