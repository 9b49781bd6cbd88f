package eventer

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why no event could be read.
type Kind string

// The kinds of failure.
const (
	// KindEnd says that the stream ended between two events.
	KindEnd Kind = "end"
	// KindTorn says that it ended within an event.
	KindTorn Kind = "torn"
	// KindLost says that it broke off.
	KindLost Kind = "lost"
	// KindLarge says that an event is larger than MaxEvent.
	KindLarge Kind = "large"
)

// Error is the reason why there is no next event.
type Error = fault.Error[Kind]

// MaxEvent is the most bytes of one event.
const MaxEvent = 1 << 20

// Event is one whole event with the blank line that ends it.
type Event struct {
	// ID is the event's number, and 0 if it has none.
	ID   int64
	Data []byte
}

// Reader reads events.
type Reader struct {
	source *bufio.Reader
}

// New returns a reader of a stream's events.
func New(source io.Reader) *Reader { return &Reader{source: bufio.NewReader(source)} }

// Buffered reports whether more of the stream was received already.
func (r *Reader) Buffered() bool { return r.source.Buffered() > 0 }

// Next returns the next whole event, or an Error.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.source.ReadBytes('\n')
		e.Data = append(e.Data, line...)
		switch {
		case err != nil:
			return Event{}, ended(err, e.Data)
		case len(e.Data) > MaxEvent:
			return Event{}, fault.New("read event", KindLarge, nil)
		}
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 {
			return e, nil
		}
		if id, ok := bytes.CutPrefix(field, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64); err == nil {
				e.ID = n
			}
		}
	}
}

// ended returns why a stream ended after the first bytes of an event.
func ended(err error, data []byte) error {
	switch {
	case err != io.EOF: //nolint:errorlint // a reader returns io.EOF itself at a clean end; a wrapped one is a failure
		return fault.New("read event", KindLost, err)
	case len(bytes.TrimSpace(data)) > 0:
		return fault.New("read event", KindTorn, io.ErrUnexpectedEOF)
	}
	return fault.New("read event", KindEnd, nil)
}
