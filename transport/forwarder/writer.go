package forwarder

import (
	"net"
	"net/http"

	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// writer writes an answer to a caller frame by frame.
type writer struct {
	out     http.ResponseWriter
	control *http.ResponseController
	// endsByClosing is whether the caller takes the end of the connection for that of the answer, as HTTP/1.0 has it.
	endsByClosing bool
	// status is that of the answer whose status line was written, 0 if none was.
	status int
}

func newWriter(w http.ResponseWriter, r *http.Request) *writer {
	return &writer{out: w, control: http.NewResponseController(w), endsByClosing: !r.ProtoAtLeast(1, 1)}
}

// write writes a frame to the caller and flushes its data.
func (w *writer) write(f attempt.Frame) error {
	if f.Status() > 0 {
		w.status = f.Status()
		h := w.out.Header()
		for name, values := range f.Header() {
			h[name] = values
		}
		if h.Get("Content-Type") == "" {
			// net/http would otherwise derive a Content-Type from the body.
			h["Content-Type"] = nil
		}
		w.out.WriteHeader(f.Status())
	}
	if len(f.Data()) == 0 {
		return nil
	}
	if _, err := w.out.Write(f.Data()); err != nil {
		return err
	}
	return w.control.Flush()
}

// abort closes the caller's connection, so that a truncated answer does not look complete; where its end would, the connection is
// reset.
func (w *writer) abort() {
	connection, _, err := w.control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := connection.(*net.TCPConn); ok && w.endsByClosing {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
