package fronter

import (
	"bytes"
	"mime"
	"net"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/kingcupstile/kingcupstile/protocol/explainer"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// writer writes an answer's frames to its caller.
type writer struct {
	context       echo.Context
	started       bool
	isEventStream bool
	buffer        []byte
}

func newWriter(c echo.Context) *writer { return &writer{context: c} }

// write passes on the next frame; in an event stream, each event gets its position as the identifier to resume after.
func (w *writer) write(f attempt.Frame, position translator.Position, flush bool) error {
	if f.Status() != 0 {
		w.writeHead(f)
		if flush {
			w.context.Response().Flush()
		}
		return nil
	}
	w.buffer = w.buffer[:0]
	if w.isEventStream && !bytes.HasPrefix(f.Data(), []byte(":")) {
		w.buffer = append(w.buffer, "id: "...)
		w.buffer = append(w.buffer, position.Prefix()...)
		w.buffer = strconv.AppendUint(w.buffer, f.Offset(), 10)
		w.buffer = append(w.buffer, '\n')
	}
	w.buffer = append(w.buffer, f.Data()...)
	if _, err := w.context.Response().Write(w.buffer); err != nil {
		return err
	}
	if flush {
		w.context.Response().Flush()
	}
	return nil
}

// writeHead passes on the status and the headers of the answer.
func (w *writer) writeHead(f attempt.Frame) {
	h := w.context.Response().Header()
	for name, values := range f.Header() {
		h[name] = values
	}
	for _, name := range removedHeaders {
		h.Del(name)
	}
	media, _, _ := mime.ParseMediaType(h.Get(echo.HeaderContentType))
	w.isEventStream = media == "text/event-stream"
	w.writeStatus(f.Status())
}

// beginEvents begins a resumed event stream, whose original head the caller already has.
func (w *writer) beginEvents() {
	w.context.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
	w.isEventStream = true
	w.writeStatus(http.StatusOK)
}

// writeStatus sends the status and announces the trailer for the outcome.
func (w *writer) writeStatus(status int) {
	w.started = true
	w.context.Response().Header().Set("Trailer", explainer.HeaderOutcome)
	w.context.Response().WriteHeader(status)
}

// finish ends a complete answer.
func (w *writer) finish(outcome attempt.Outcome) {
	if !w.started {
		w.writeStatus(http.StatusOK)
	}
	w.context.Response().Header().Set(explainer.HeaderOutcome, string(outcome))
}

// abort ends an incomplete answer: an event stream with an error event, any other by aborting the connection.
func (w *writer) abort(p explainer.Problem) error {
	if !w.isEventStream {
		w.reset()
		panic(http.ErrAbortHandler)
	}
	w.context.Response().Header().Set(explainer.HeaderOutcome, string(p.Outcome))
	_, err := w.context.Response().Write(append(append([]byte("event: error\ndata: "), p.JSON()...), "\n\n"...))
	return err
}

// reset resets the connection of a caller of HTTP/1.0, who takes its end for that of the answer.
func (w *writer) reset() {
	if w.context.Request().ProtoAtLeast(1, 1) {
		return
	}
	connection, _, err := w.context.Response().Hijack()
	if err != nil {
		return
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
