package examiner

import (
	"net/http"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies why a response is no final answer.
type Kind string

// The kinds of failure.
const (
	// KindVersion means that the status line names another protocol than HTTP/1.
	KindVersion Kind = "version"
	// KindStatus means that the status is informational, or none of HTTP.
	KindStatus Kind = "status"
	// KindField means that a field of the head is none of HTTP.
	KindField Kind = "field"
	// KindFraming means that the head does not tell where the body ends, or tells it twice.
	KindFraming Kind = "framing"
)

// Error tells why a response is no final answer.
type Error = fault.Error[Kind]

// minStatus and maxStatus are the lowest and the highest status of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an Error if a parsed response is no final answer of HTTP/1. net/http takes any three digits for a status, 000 among them,
// and any version.
func Check(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return fault.Newf("check answer", KindVersion, "protocol %q", r.Proto)
	case r.StatusCode < http.StatusOK || r.StatusCode > maxStatus:
		return fault.Newf("check answer", KindStatus, "status %q", r.Status)
	}
	return nil
}
