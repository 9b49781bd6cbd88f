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

// TestNames guards against a line that net/http takes for a field, and whose name is none.
func TestNames(t *testing.T) {
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
		if got := fault.KindOf[examiner.Kind](errorOf(head)); got != want {
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
		if got := fault.KindOf[examiner.Kind](errorOf(line + "\r\n\r\n")); got != want {
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
		if got := fault.KindOf[examiner.Kind](errorOf(head + "\r\n")); got != want {
			t.Errorf("%q: %q, want %q", head, got, want)
		}
	}
}

// TestReadHead guards against a body whose end is not the one that its head tells.
func TestReadHead(t *testing.T) {
	for head, want := range map[string]examiner.Head{
		"HTTP/1.1 100 Continue\r\n":                                  {Status: 100},
		"HTTP/1.1 200 OK\r\n":                                        {Status: 200},
		"HTTP/1.1 200 OK\r\ncontent-length:\t7 \r\n":                 {Status: 200, Length: 7, HasLength: true},
		"HTTP/1.0 404\r\nContent-Length: 0\r\nA: 1\r\n":              {Status: 404, HasLength: true},
		"HTTP/1.1 200 OK\nTRANSFER-ENCODING: chunked\nA: 1\n":        {Status: 200, IsChunked: true},
		"HTTP/1.1  200  OK\r\nA: Content-Length: 5,\r\n Name: 7\r\n": {Status: 200},
	} {
		if got, err := examiner.ReadHead([]byte(head + "\r\n")); err != nil || got != want {
			t.Errorf("%q: %+v, %v", head, got, err)
		}
	}
}

// TestFollowers guards against an interim answer that is taken for the final one, and against a body where none can be.
func TestFollowers(t *testing.T) {
	for status, want := range map[int]struct{ isInformational, hasBody bool }{
		100: {true, false}, 101: {false, false}, 103: {true, false}, 200: {false, true}, 204: {false, false}, 304: {false, false},
		503: {false, true},
	} {
		if h := (examiner.Head{Status: status}); h.IsInformational() != want.isInformational || h.HasBody() != want.hasBody {
			t.Errorf("%d: %t, %t", status, h.IsInformational(), h.HasBody())
		}
	}
}

// errorOf returns why a head is none.
func errorOf(head string) error {
	_, err := examiner.ReadHead([]byte(head))
	return err
}
