package explainer

import (
	"encoding/json"
	"net/http"

	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// ContentType is the media type of an encoded Problem.
const ContentType = "application/problem+json"

// HeaderOutcome is the name of the header or trailer that carries a request's outcome.
const HeaderOutcome = "Kingcup-Outcome"

// Problem is the problem details that a caller receives, extended by the request's outcome, reason and identifier.
type Problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail,omitempty"`
	Outcome attempt.Outcome `json:"outcome"`
	Reason  string          `json:"reason"`
	Request string          `json:"request,omitempty"`
}

// New returns a problem whose type is made from reason and whose title is the text of the HTTP status.
func New(status int, outcome attempt.Outcome, reason, detail string) Problem {
	return Problem{
		Type: "urn:kingcupstile:" + reason, Title: http.StatusText(status), Status: status,
		Detail: detail, Outcome: outcome, Reason: reason,
	}
}

// WithRequest returns the problem with the request's identifier.
func (p Problem) WithRequest(id string) Problem {
	p.Request = id
	return p
}

// JSON returns the problem as JSON; if encoding fails, the JSON holds only the outcome "unknown".
func (p Problem) JSON() []byte {
	b, err := json.Marshal(p)
	if err != nil {
		return []byte(`{"outcome":"unknown"}`)
	}
	return b
}
