package messenger

import (
	"bufio"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why a message could not be read.
type Kind string

// The kinds of failure.
const (
	// KindUnreadable is the kind of a message that is truncated, malformed or larger than MaxMessageBytes.
	KindUnreadable Kind = "cut"
	// KindWrongAttempt is the kind of a frame that belongs to another attempt than its stream.
	KindWrongAttempt Kind = "foreign"
)

// Error reports a stream from which no further message can be read.
type Error = fault.Error[Kind]

// MaxMessageBytes is the size of the largest message that Read accepts, without its length prefix.
const MaxMessageBytes = 16 << 20

// Write writes a message, prefixed with its length as a varint.
func Write(w io.Writer, m proto.Message) error {
	_, err := protodelim.MarshalTo(w, m)
	return err
}

// Append appends a message to b in the form that Write uses.
func Append(b []byte, m proto.Message) ([]byte, error) {
	b = binary.AppendUvarint(b, uint64(proto.Size(m)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
}

// Read reads a message that Write wrote into m, or returns an Error of KindUnreadable.
func Read(r *bufio.Reader, m proto.Message) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}).UnmarshalFrom(r, m); err != nil {
		return fault.New("read message", KindUnreadable, err)
	}
	return nil
}

// ReadFrame reads the next frame of the attempt with an identifier, or returns an Error of KindUnreadable or
// KindWrongAttempt.
func ReadFrame(r *bufio.Reader, id string) (*wire.Frame, error) {
	m := &wire.Frame{}
	if err := Read(r, m); err != nil {
		return nil, err
	}
	if m.GetAttempt() != id {
		return nil, fault.Newf("read frame", KindWrongAttempt, "got a frame of attempt %q on the stream of attempt %q", m.GetAttempt(), id)
	}
	return m, nil
}
