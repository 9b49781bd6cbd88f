package parser_test

import (
	"io/fs"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile/examples"
	"github.com/kingcupstile/kingcupstile/protocol/parser"
)

// FuzzParse checks that any file is either parsed, or rejected with mistakes whose positions lie inside the file.
func FuzzParse(f *testing.F) {
	err := fs.WalkDir(examples.Files, ".", func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		text, err := fs.ReadFile(examples.Files, file)
		f.Add(text, strings.HasSuffix(file, parser.ServiceSuffix))
		return err
	})
	if err != nil {
		f.Fatal(err)
	}
	for _, text := range []string{
		"", "{", "[]", `{"service": 1}`, `{"a": 1, "a": 2}`, "{/*", "\x00", `{"service": "\ud800"}`, strings.Repeat("[", 40),
		`{"timeout": "1e9h"}`, "{\n\n\"hash\": [\"x\"], \"account\": \"A\"}", `{"allow": [{"limit": 1e99}]}`,
	} {
		f.Add([]byte(text), true)
		f.Add([]byte(text), false)
	}
	f.Fuzz(func(t *testing.T, text []byte, service bool) {
		file := "a" + parser.AccountSuffix
		if service {
			file = "a" + parser.ServiceSuffix
		}
		_, err := parser.Parse(parser.Bundle{}, file, text)
		if err == nil {
			return
		}
		mistakes := parser.MistakeErrors{}
		if !errors.As(err, &mistakes) || len(mistakes) == 0 {
			t.Fatalf("an error without a mistake: %v", err)
		}
		lines := 1 + strings.Count(string(text), "\n")
		for _, m := range mistakes {
			if m.Line < 1 || m.Line > lines || m.Column < 1 || m.Want == "" {
				t.Errorf("%q: %s", text, m)
			}
		}
	})
}
