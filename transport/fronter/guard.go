package fronter

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/kingcupstile/kingcupstile/coordination/binder"
	"github.com/kingcupstile/kingcupstile/protocol/explainer"
	"github.com/kingcupstile/kingcupstile/protocol/translator"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// MaxHeaderBytes is the largest size of a request's headers, names and values together.
const MaxHeaderBytes = 32 << 10

// guard refuses malformed and oversized requests before anything is looked up for them.
func (f *Fronter) guard(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h := c.Request().Header
		switch {
		case headerSize(h) > MaxHeaderBytes:
			return f.refuse(c, http.StatusRequestHeaderFieldsTooLarge, "headers", "headers of at most "+strconv.Itoa(MaxHeaderBytes)+" bytes")
		case !isPrintable(h.Values(HeaderKey), binder.MaxKeyLength):
			return f.refuseMalformed(c, "key", "one Idempotency-Key of 1 to 255 printable ASCII characters")
		case !isPrintable(h.Values(HeaderResume), translator.MaxPositionBytes):
			return f.refuse(c, http.StatusBadRequest, "position", "one Last-Event-ID of 1 to 255 printable ASCII characters")
		case !isUnambiguousPath(c.Request().URL.EscapedPath()):
			return f.refuse(c, http.StatusBadRequest, "path", "a path without dot segments whose service is not escaped")
		}
		return next(c)
	}
}

func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}

// isPrintable reports whether a header is absent, or has one value of 1 to limit printable ASCII characters.
func isPrintable(values []string, limit int) bool {
	switch {
	case len(values) == 0:
		return true
	case len(values) > 1 || values[0] == "" || len(values[0]) > limit:
		return false
	}
	return strings.IndexFunc(values[0], func(r rune) bool { return r < ' ' || r > '~' }) < 0
}

// isUnambiguousPath reports whether every HTTP implementation resolves the path alike: a prefix of the path decides
// whether a request may be repeated.
func isUnambiguousPath(escaped string) bool {
	for i, segment := range strings.Split(escaped, "/") {
		plain, err := url.PathUnescape(segment)
		if err != nil || plain == "." || plain == ".." || strings.ContainsAny(plain, "\x00\\") || (i == 1 && plain != segment) {
			return false
		}
	}
	return true
}

// refuse answers a request of which nothing was sent to an endpoint. With an idempotency key or a position to resume
// from, the outcome is unknown, since an earlier request may have run.
func (f *Fronter) refuse(c echo.Context, status int, reason, detail string) error {
	outcome := attempt.OutcomeNotRun
	if h := c.Request().Header; h.Get(HeaderKey) != "" || h.Get(HeaderResume) != "" {
		outcome = attempt.OutcomeUnknown
	}
	return f.fail(c, explainer.New(status, outcome, reason, detail), 0)
}

// refuseMalformed answers a request whose key is malformed, so that no earlier request can have run under it.
func (f *Fronter) refuseMalformed(c echo.Context, reason, detail string) error {
	return f.fail(c, explainer.New(http.StatusBadRequest, attempt.OutcomeNotRun, reason, detail), 0)
}

// handleError answers requests that match no route, and those whose handler returned an error before it answered.
func (f *Fronter) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	if e := (*echo.HTTPError)(nil); errors.As(err, &e) {
		status = e.Code
	}
	_ = f.refuse(c, status, "route", "paths begin with a service's name or with "+reservedPrefix+"/")
}

// refuseBody answers a request whose body could not be read.
func (f *Fronter) refuseBody(c echo.Context, err error) error {
	if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
		return f.refuse(c, http.StatusRequestEntityTooLarge, "body", "a body of at most "+strconv.Itoa(MaxBodyBytes)+" bytes")
	}
	return f.refuse(c, http.StatusBadRequest, "body", "a whole body within the service's timeout")
}
