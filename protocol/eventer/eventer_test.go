package eventer_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/kingcupstile/kingcupstile/protocol/eventer"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

func read(source io.Reader) ([]string, eventer.Kind) {
	r := eventer.New(source)
	var got []string
	for {
		e, err := r.Next()
		if err != nil {
			return got, fault.KindOf[eventer.Kind](err)
		}
		got = append(got, string(e.Data))
	}
}

func TestNext(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		want []string
		end  eventer.Kind
	}{
		"empty":                 {"", nil, eventer.KindEnd},
		"whole":                 {"id: 1\ndata: a\n\nid: 2\n\n", []string{"id: 1\ndata: a\n\n", "id: 2\n\n"}, eventer.KindEnd},
		"with carriage returns": {"id: 1\r\n\r\n", []string{"id: 1\r\n\r\n"}, eventer.KindEnd},
		"torn":                  {"id: 1\n\nid: 2\nda", []string{"id: 1\n\n"}, eventer.KindTruncated},
		"unended":               {"id: 1\n", nil, eventer.KindTruncated},
		"too large":             {"data: " + strings.Repeat("x", eventer.MaxEventBytes) + "\n", nil, eventer.KindTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			got, end := read(strings.NewReader(test.text))
			if diff := cmp.Diff(test.want, got); diff != "" || end != test.end {
				t.Errorf("%s ends %q", diff, end)
			}
		})
	}
	if _, end := read(io.MultiReader(strings.NewReader("id: 1\n\n"), failingReader{})); end != eventer.KindReadFailed {
		t.Errorf("a stream with a read error ends %q", end)
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

// endless gives bytes for ever and counts them.
type endless struct {
	text string
	n    int
}

func (e *endless) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		n += copy(p[n:], e.text)
	}
	e.n += n
	return n, nil
}

// TestEndlessEventIsBounded reads bytes without end that never make up an event: with lines and without.
func TestEndlessEventIsBounded(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", ":\n"} {
		source := &endless{text: text}
		if _, err := eventer.New(source).Next(); fault.KindOf[eventer.Kind](err) != eventer.KindTooLarge {
			t.Errorf("%q: %v", text, err)
		}
		if source.n > 2*eventer.MaxEventBytes {
			t.Errorf("%q: read %d bytes", text, source.n)
		}
	}
}

// TestCommentsHaveNoFields tells what a runner sends only to keep a connection open from the events of an answer.
func TestCommentsHaveNoFields(t *testing.T) {
	r := eventer.New(strings.NewReader(": still here\n\n\nid: 3\n\n: note\ndata: x\n\n"))
	for i, want := range []bool{false, false, true, true} {
		if e, err := r.Next(); err != nil || e.HasFields != want {
			t.Errorf("event %d: %+v, %v", i, e, err)
		}
	}
}

// TestNumberOfAnEvent guards against an event with the number 0 that is taken for one without a number.
func TestNumberOfAnEvent(t *testing.T) {
	for text, want := range map[string]eventer.Event{
		"id: 0\ndata: a\n\n":       {ID: 0, HasID: true},
		"id:7\ndata: a\n\n":        {ID: 7, HasID: true},
		"id: -1\ndata: a\n\n":      {ID: -1, HasID: true},
		"id: 3\nid: 4\n\n":         {ID: 4, HasID: true},
		"data: a\n\n":              {},
		"id: next\ndata: a\n\n":    {},
		"id:\ndata: a\n\n":         {},
		": id: 4\ndata: id: 4\n\n": {},
	} {
		got, err := eventer.New(strings.NewReader(text)).Next()
		if err != nil || got.ID != want.ID || got.HasID != want.HasID {
			t.Errorf("%q: %+v, %v", text, got, err)
		}
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte(strings.Repeat("data: endless ", 1<<13)))
	f.Add([]byte(strings.Repeat(":\n", 1<<12)))
	f.Add([]byte("id: 1\ndata: a\n\nid: 2"))
	f.Add([]byte("id:\n\n\n\nid: 99999999999999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, _ := read(bytes.NewReader(text))
		if !bytes.HasPrefix(text, []byte(strings.Join(got, ""))) {
			t.Errorf("events %q are no prefix of %q", got, text)
		}
	})
}
