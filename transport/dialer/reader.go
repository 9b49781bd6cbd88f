package dialer

import (
	"bufio"
	"context"
	"io"
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// reader reads the frames of one stream; its watchdog cancels the stream after receiveTimeout without a frame.
type reader struct {
	id             string
	stream         io.ReadCloser
	buffered       *bufio.Reader
	watchdog       *time.Timer
	receiveTimeout time.Duration
	cancel         context.CancelFunc
}

func newReader(id string, stream io.ReadCloser, watchdog *time.Timer, receiveTimeout time.Duration, cancel context.CancelFunc) *reader {
	return &reader{
		id: id, stream: stream, buffered: bufio.NewReader(stream),
		watchdog: watchdog, receiveTimeout: receiveTimeout, cancel: cancel,
	}
}

// Next waits for the next frame; a heartbeat only resets the watchdog.
func (r *reader) Next(ctx context.Context) (attempt.Frame, error) {
	for {
		if err := ctx.Err(); err != nil {
			return attempt.Frame{}, err
		}
		m, err := messenger.ReadFrame(r.buffered, r.id)
		if err != nil {
			return attempt.Frame{}, err
		}
		r.watchdog.Reset(r.receiveTimeout)
		if !m.GetBeat() {
			return messenger.DecodeFrame(m), nil
		}
	}
}

// HasBuffered reports whether Next has another frame, or the first part of one, without waiting.
func (r *reader) HasBuffered() bool { return r.buffered.Buffered() > 0 }

// Close releases the stream and its connection.
func (r *reader) Close() error {
	r.watchdog.Stop()
	r.cancel()
	return r.stream.Close()
}
