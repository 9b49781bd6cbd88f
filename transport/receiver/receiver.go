package receiver

import (
	"context"
	"net"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/pauser"
)

// errorPause is the pause after a failed read, so that a lasting error does not take the processor.
const errorPause = 50 * time.Millisecond

// Receive passes each datagram, of at most size bytes, to handle, and each error of reading to failed, until ctx ends; then
// it closes the socket and returns. The datagram is only valid until handle returns.
func Receive(ctx context.Context, socket net.PacketConn, size int, handle func(datagram []byte, from net.Addr), failed func(error)) {
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	buffer := make([]byte, size)
	for {
		n, from, err := socket.ReadFrom(buffer)
		if err == nil {
			handle(buffer[:n], from)
			continue
		}
		if !pauser.Wait(ctx, errorPause) {
			return
		}
		failed(err)
	}
}
