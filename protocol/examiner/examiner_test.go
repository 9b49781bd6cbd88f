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

// TestCheckHead guards against a line that net/http takes for a field, and whose name is none.
func TestCheckHead(t *testing.T) {
	for lines, want := range map[string]examiner.Kind{
		"":                                     "",
		"A: 1\r\n":                             "",
		"a-b_c!#$%&'*+.^`|~9:1\n":              "",
		"A:\r\n":                               "",
		"A: 1,\r\n 2 : 3\r\nB: 1\r\n":          "",
		"A: 1\r\n\t2\r\n":                      "",
		"A : 1\r\n":                            examiner.KindField,
		"Content-Length : 4\r\n":               examiner.KindField,
		"A\t: 1\r\n":                           examiner.KindField,
		"A B: 1\r\n":                           examiner.KindField,
		"A\x01: 1\r\n":                         examiner.KindField,
		"A\x7f: 1\r\n":                         examiner.KindField,
		"A\rB: 1\r\n":                          examiner.KindField,
		"\xc3\x84: 1\r\n":                      examiner.KindField,
		": 1\r\n":                              examiner.KindField,
		"A\r\n":                                examiner.KindField,
		"Good: 1\r\nBad one: 2\r\nGood: 3\r\n": examiner.KindField,
	} {
		head := "HTTP/1.1 200 OK\r\n" + lines + "\r\n"
		if got := fault.KindOf[examiner.Kind](examiner.CheckHead([]byte(head))); got != want {
			t.Errorf("%q: %q, want %q", lines, got, want)
		}
	}
}

// TestStatusLine guards against a status line that net/http takes for one.
func TestStatusLine(t *testing.T) {
	for line, want := range map[string]examiner.Kind{
		"HTTP/1.1 200 OK": "", "HTTP/1.1 200": "", "HTTP/1.1 200 ": "", "HTTP/1.0 404 Not \xfcber": "", "HTTP/1.1  200 OK": "",
		"HTTP/1.1 100 Continue": "", "HTTP/1.1 200 all\tright": "",
		"HTTP/1.1 200 O\rK": examiner.KindStatus, "HTTP/1.1 200 O\x00K": examiner.KindStatus, "HTTP/1.1 200 O\x7fK": examiner.KindStatus,
		"HTTP/1.1 000 OK": examiner.KindStatus, "HTTP/1.1 600 OK": examiner.KindStatus, "HTTP/1.1 +20 OK": examiner.KindStatus,
		"HTTP/1.1 20 OK": examiner.KindStatus, "HTTP/1.1": examiner.KindStatus, "HTTP/2.0 200 OK": examiner.KindVersion,
		"": examiner.KindVersion, "garbage 200 OK": examiner.KindVersion,
	} {
		if got := fault.KindOf[examiner.Kind](examiner.CheckHead([]byte(line + "\r\n\r\n"))); got != want {
			t.Errorf("%q: %q, want %q", line, got, want)
		}
	}
}

// TestFraming guards against a head that tells two ends of its body, of which net/http takes one.
func TestFraming(t *testing.T) {
	const coding, length = "Transfer-Encoding: chunked\r\n", "content-length: 4\r\n"
	for head, want := range map[string]examiner.Kind{
		"HTTP/1.1 200 OK\r\n" + coding:          "",
		"HTTP/1.1 200 OK\r\n" + length:          "",
		"HTTP/1.0 200 OK\r\n" + length:          "",
		"HTTP/1.1 200 OK\r\n" + length + coding: examiner.KindFraming,
		"HTTP/1.1 200 OK\r\n" + coding + length: examiner.KindFraming,
		"HTTP/1.0 200 OK\r\n" + coding:          examiner.KindFraming,
		"HTTP/1.0 200 OK\r\n" + coding + length: examiner.KindFraming,
	} {
		if got := fault.KindOf[examiner.Kind](examiner.CheckHead([]byte(head + "\r\n"))); got != want {
			t.Errorf("%q: %q, want %q", head, got, want)
		}
	}
}

// TestIsInformational guards against an interim answer that is taken for the final one.
func TestIsInformational(t *testing.T) {
	for line, want := range map[string]bool{
		"HTTP/1.1 100 Continue\r\n": true, "HTTP/1.1 103\r\n": true, "HTTP/1.1 200 OK\r\n": false, "HTTP/1.1 101 X\r\n": false,
		"HTTP/1.1 1000 X\r\n": false, "\r\n": false, "HTTP/1.1\r\n": false,
	} {
		if got := examiner.IsInformational([]byte(line + "\r\n")); got != want {
			t.Errorf("%q: %t", line, got)
		}
	}
}
