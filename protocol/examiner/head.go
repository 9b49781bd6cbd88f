package examiner

import (
	"bytes"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Head is what the head of a response says of the body that follows it.
type Head struct {
	// Status may be informational.
	Status int
	// Length is that of the body in bytes, and HasLength whether there is one.
	Length    uint64
	HasLength bool
	// IsChunked says that the body is in chunks.
	IsChunked bool
}

// ReadHead returns what the head of a response, with the blank line that ends it, says of its body. It returns an Error for a head that is
// none of HTTP/1 although net/http takes it for one (RFC 9112, sections 4 to 6): the status line has another version, no status or a
// control byte, the name of a field is no token, or the fields do not tell where the body ends.
func ReadHead(head []byte) (Head, error) {
	first, lines, _ := bytes.Cut(head, []byte("\n"))
	h, err := readStatusLine(trimEnd(first))
	if err != nil {
		return Head{}, err
	}
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, []byte("\n"))
		line = trimEnd(line)
		if len(line) == 0 || isFolded(line) {
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !httpguts.ValidHeaderFieldName(string(name)) {
			return Head{}, fault.Newf("check answer", KindField, "name %q", name)
		}
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			h.IsChunked = true
		case bytes.EqualFold(name, []byte("Content-Length")):
			// net/http rejects what is no number.
			h.Length, _ = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
			h.HasLength = true
		}
	}
	switch {
	case h.IsChunked && h.HasLength:
		return Head{}, fault.Newf("check answer", KindFraming, "a transfer coding and a length")
	case h.IsChunked && bytes.HasPrefix(first, []byte("HTTP/1.0")):
		return Head{}, fault.Newf("check answer", KindFraming, "a transfer coding in %q", trimEnd(first))
	}
	return h, nil
}

// IsInformational reports whether another head follows on the connection (RFC 9110, section 15.2); not so after 101, which ends HTTP there.
func (h Head) IsInformational() bool {
	return h.Status < http.StatusOK && h.Status != http.StatusSwitchingProtocols
}

// HasBody reports whether the head may be followed by a body if it does not answer HEAD.
func (h Head) HasBody() bool {
	return h.Status >= http.StatusOK && h.Status != http.StatusNoContent && h.Status != http.StatusNotModified
}

// readStatusLine returns the status in a line, or an Error if it is no status line; words may be further apart than by a blank.
func readStatusLine(line []byte) (Head, error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		return Head{}, fault.Newf("check answer", KindVersion, "status line %q", line)
	}
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.ParseUint(string(digits), 10, 16)
	isStatus := err == nil && len(digits) == len("200") && status >= minStatus && status <= maxStatus
	if !isStatus || !httpguts.ValidHeaderFieldValue(string(line)) {
		return Head{}, fault.Newf("check answer", KindStatus, "status line %q", line)
	}
	return Head{Status: int(status)}, nil
}

// trimEnd returns a line without its end: CRLF, or LF alone (RFC 9112, section 2.2).
func trimEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// isFolded reports whether a line goes on with the value of the line before it.
func isFolded(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }
