package eventer

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why no event could be read.
type Kind string

// The kinds of failure.
const (
	// KindEnd means that the stream ended between two events.
	KindEnd Kind = "end"
	// KindTruncated means that the stream ended within an event.
	KindTruncated Kind = "torn"
	// KindReadFailed means that reading the stream failed before its end.
	KindReadFailed Kind = "lost"
	// KindTooLarge means that an event is larger than MaxEventBytes, or than the reservation allows.
	KindTooLarge Kind = "large"
)

// Error tells why there is no next event.
type Error = fault.Error[Kind]

// MaxEventBytes is the largest size of one event in bytes; no more is kept of one that never ends.
const MaxEventBytes = 1 << 20

// stepBytes is how much of an event is kept without the reservation, and in what steps the rest is added to it.
const stepBytes = 16 << 10

// Event is one whole event.
type Event struct {
	// ID is the last integer in an id field of the event, and HasID whether there is one.
	ID    int64
	HasID bool
	// HasFields says that the event has a field; one without is only a comment, or a blank line.
	HasFields bool
	// Data is the event's text as received, with the blank line that ends it.
	Data []byte
}

// Reader reads events from a stream.
type Reader struct {
	source      *bufio.Reader
	reservation kingcupstile.Reservation
	// added is what was added to the reservation for the last event.
	added int64
}

// Option sets a field of a Reader under construction.
type Option func(*Reader)

// KeptIn sets the reservation to which the bytes of an event are added until the next one is read.
func KeptIn(r kingcupstile.Reservation) Option {
	return func(reader *Reader) { reader.reservation = r }
}

// New returns a reader of the events in source.
func New(source io.Reader, options ...Option) *Reader {
	r := &Reader{source: bufio.NewReader(source)}
	for _, option := range options {
		option(r)
	}
	return r
}

// HasBuffered reports whether unread bytes of the stream are already in memory; they need not form a whole event.
func (r *Reader) HasBuffered() bool { return r.source.Buffered() > 0 }

// Next returns the next event once all of it was received, or an Error.
func (r *Reader) Next() (Event, error) {
	var e Event
	start := 0
	if r.added > 0 {
		r.reservation.Remove(r.added)
		r.added = 0
	}
	for {
		part, err := r.source.ReadSlice('\n')
		e.Data = append(e.Data, part...)
		switch {
		case len(e.Data) > MaxEventBytes || !r.keep(int64(len(e.Data))):
			return Event{}, fault.New("read event", KindTooLarge, nil)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return Event{}, endError(err, e.Data)
		}
		field := bytes.TrimRight(e.Data[start:], "\r\n")
		start = len(e.Data)
		if len(field) == 0 {
			return e, nil
		}
		e = e.withField(field)
	}
}

// keep adds what an event takes to the reservation, and reports whether that is allowed.
func (r *Reader) keep(bytes int64) bool {
	for r.reservation != nil && bytes > r.added+stepBytes {
		if !r.reservation.Add(stepBytes) {
			return false
		}
		r.added += stepBytes
	}
	return true
}

// withField returns the event with what a line of it says.
func (e Event) withField(line []byte) Event {
	e.HasFields = e.HasFields || line[0] != ':'
	if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64); err == nil {
			e.ID, e.HasID = n, true
		}
	}
	return e
}

// endError returns the Error for a stream that ended with err after data, the first bytes of an event.
func endError(err error, data []byte) error {
	switch {
	case err != io.EOF: //nolint:errorlint // a reader returns io.EOF itself at a clean end; a wrapped one is a failure
		return fault.New("read event", KindReadFailed, err)
	case len(bytes.TrimSpace(data)) > 0:
		return fault.New("read event", KindTruncated, io.ErrUnexpectedEOF)
	}
	return fault.New("read event", KindEnd, nil)
}
