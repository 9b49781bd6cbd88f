package splitter

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why no further event can be read.
type Kind string

// The kinds of failure.
const (
	// KindInterrupted means that the stream ended within an event, or that reading it failed.
	KindInterrupted Kind = "cut"
	// KindTooLarge means that an event is larger than MaxEventBytes.
	KindTooLarge Kind = "large"
)

// Error tells why no further event can be read.
type Error = fault.Error[Kind]

// MaxEventBytes is the largest event in bytes.
const MaxEventBytes = 1 << 20

// Splitter reads events from a stream.
type Splitter struct{ r *bufio.Reader }

// New returns a splitter that reads from r.
func New(r io.Reader) *Splitter { return &Splitter{r: bufio.NewReader(r)} }

// Next returns the next event with the blank line that ends it, io.EOF after the last event, or an Error.
func (s *Splitter) Next() ([]byte, error) {
	var event []byte
	for {
		line, err := s.r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > MaxEventBytes:
			return nil, fault.Newf("read event", KindTooLarge, "event is larger than %d bytes", MaxEventBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(event)) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, fault.New("read event", KindInterrupted, io.ErrUnexpectedEOF)
		case err != nil:
			return nil, fault.New("read event", KindInterrupted, err)
		}
		if endsWithBlankLine(event) {
			return event, nil
		}
	}
}

// endsWithBlankLine reports whether the last line of an event is blank; line ends may be LF or CRLF.
func endsWithBlankLine(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n")) ||
		len(bytes.TrimSpace(event)) == 0
}
