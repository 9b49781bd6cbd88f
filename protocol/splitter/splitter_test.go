package splitter_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile/protocol/splitter"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// FuzzNext checks that the events are the stream's bytes, unchanged and in order, in whatever pieces it arrives.
func FuzzNext(f *testing.F) {
	for _, stream := range []string{
		"data: a\n\ndata: b\n\n", "data: a\r\n\r\n", "\n\n\n", "data: a", ": beat\n\n", "data: a\ndata: b\n\ndata", "\r\n\x00\n\n", "",
	} {
		f.Add([]byte(stream))
	}
	f.Add(bytes.Repeat([]byte("a"), 2*splitter.MaxEventBytes))
	f.Fuzz(func(t *testing.T, stream []byte) {
		whole, err := split(bytes.NewReader(stream))
		if !bytes.HasPrefix(stream, bytes.Join(whole, nil)) {
			t.Errorf("%q was split into %q", stream, whole)
		}
		rest := stream[len(bytes.Join(whole, nil)):]
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(rest)) > 0 {
			t.Errorf("%q was left at the end of a whole stream", rest)
		}
		if !errors.Is(err, io.EOF) && fault.KindOf[splitter.Kind](err) == "" {
			t.Errorf("an error without a kind: %v", err)
		}
		single, _ := split(iotest.OneByteReader(bytes.NewReader(stream)))
		if len(single) != len(whole) {
			t.Errorf("%d events, but %d when bytes come one at a time", len(whole), len(single))
		}
	})
}

func split(r io.Reader) ([][]byte, error) {
	var events [][]byte
	for s := splitter.New(r); ; {
		event, err := s.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}
