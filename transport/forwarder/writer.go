package forwarder

import (
	"net/http"

	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// writer writes an answer to a caller frame by frame.
type writer struct {
	out     http.ResponseWriter
	control *http.ResponseController
	// status is that of the answer whose status line was written, 0 if none was.
	status int
}

func newWriter(w http.ResponseWriter) *writer {
	return &writer{out: w, control: http.NewResponseController(w)}
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

// abort closes the caller's connection, so that a truncated answer does not look complete.
func (w *writer) abort() {
	connection, _, err := w.control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = connection.Close()
}
