package examiner

import (
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// CheckTrailers returns an Error if the name of a trailer that net/http has read is no token (RFC 9112, section 7.1.2).
func CheckTrailers(trailers http.Header) error {
	for name := range trailers {
		if !httpguts.ValidHeaderFieldName(name) {
			return fault.Newf("check answer", KindField, "name %q of a trailer", name)
		}
	}
	return nil
}
