package examiner_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/kingcupstile/kingcupstile/protocol/examiner"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// TestCheck guards against a status line that parses, and is taken for an answer.
func TestCheck(t *testing.T) {
	for line, want := range map[string]examiner.Kind{
		"HTTP/1.1 200 OK": "", "HTTP/1.0 200 OK": "", "HTTP/1.1 404": "", "HTTP/1.1 503 ": "", "HTTP/1.1 599 X": "", "HTTP/1.1 304 X": "",
		"HTTP/1.1 000 ": examiner.KindStatus, "HTTP/1.1 000": examiner.KindStatus, "HTTP/1.1 099 X": examiner.KindStatus,
		"HTTP/1.1 101 X": examiner.KindStatus, "HTTP/1.1 199 X": examiner.KindStatus, "HTTP/1.1 600 X": examiner.KindStatus,
		"HTTP/1.1 999 X": examiner.KindStatus, "HTTP/2.0 200 OK": examiner.KindVersion, "HTTP/0.9 200 OK": examiner.KindVersion,
	} {
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(line+"\r\nContent-Length: 0\r\n\r\n")), nil)
		if err != nil {
			t.Errorf("%q: %v", line, err)
			continue
		}
		if got := fault.KindOf[examiner.Kind](examiner.Check(r)); got != want {
			t.Errorf("%q: %q, want %q", line, got, want)
		}
		_ = r.Body.Close()
	}
}
