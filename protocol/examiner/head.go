package examiner

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// CheckHead returns an Error if the head of a response, with the blank line that ends it, is none of HTTP/1 although net/http takes it for
// one (RFC 9112, sections 4 to 6): the status line has another version, no status or a control byte, the name of a field is no token, or
// the fields do not tell where the body ends. A response may be informational.
func CheckHead(head []byte) error {
	first, lines, _ := bytes.Cut(head, []byte("\n"))
	if err := checkStatusLine(trimEnd(first)); err != nil {
		return err
	}
	hasCoding, hasLength := false, false
	for line := range bytes.Lines(lines) {
		line = trimEnd(line)
		if len(line) == 0 || isFolded(line) {
			continue
		}
		name, _, found := bytes.Cut(line, []byte(":"))
		if !found || !httpguts.ValidHeaderFieldName(string(name)) {
			return fault.Newf("check answer", KindField, "name %q", name)
		}
		hasCoding = hasCoding || strings.EqualFold(string(name), "Transfer-Encoding")
		hasLength = hasLength || strings.EqualFold(string(name), "Content-Length")
	}
	switch {
	case hasCoding && hasLength:
		return fault.Newf("check answer", KindFraming, "a transfer coding and a length")
	case hasCoding && bytes.HasPrefix(first, []byte("HTTP/1.0")):
		return fault.Newf("check answer", KindFraming, "a transfer coding in %q", trimEnd(first))
	}
	return nil
}

// checkStatusLine returns an Error if a line is no status line; words may be further apart than by a blank.
func checkStatusLine(line []byte) error {
	words := bytes.Fields(line)
	if len(words) == 0 || !bytes.HasPrefix(words[0], []byte("HTTP/1.")) {
		return fault.Newf("check answer", KindVersion, "status line %q", line)
	}
	if status := statusOf(words); status < minStatus || status > maxStatus || !httpguts.ValidHeaderFieldValue(string(line)) {
		return fault.Newf("check answer", KindStatus, "status line %q", line)
	}
	return nil
}

// statusOf returns the status among the words of a status line, 0 if it is no number of three digits.
func statusOf(words [][]byte) int {
	const digits = 3
	if len(words) < 2 || len(words[1]) != digits {
		return 0
	}
	status, err := strconv.ParseUint(string(words[1]), 10, 16)
	if err != nil {
		return 0
	}
	return int(status)
}

// IsInformational reports whether a head is that of an informational answer, which another one follows on the connection (RFC 9110,
// section 15.2); not so after 101, which ends HTTP there.
func IsInformational(head []byte) bool {
	first, _, _ := bytes.Cut(head, []byte("\n"))
	status := statusOf(bytes.Fields(first))
	return status >= minStatus && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// trimEnd returns a line without its end: CRLF, or LF alone (RFC 9112, section 2.2).
func trimEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// isFolded reports whether a line goes on with the value of the line before it.
func isFolded(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }
