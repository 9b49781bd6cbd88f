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

func FuzzNext(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2"))
	f.Add([]byte("id:\n\n\n\nid: 99999999999999999999\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, _ := read(bytes.NewReader(text))
		if !bytes.HasPrefix(text, []byte(strings.Join(got, ""))) {
			t.Errorf("events %q are no prefix of %q", got, text)
		}
	})
}
