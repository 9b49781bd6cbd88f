package fronter

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kingcupstile/kingcupstile/protocol/explainer"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// takeToken counts a request against its account's limit, or returns after how long to send it again and false.
func (f *Fronter) takeToken(c echo.Context, a access) (time.Duration, bool) {
	if f.limiter == nil {
		return 0, true
	}
	return f.limiter.Take(c.Request().Context(), a.service.Name(), a.grant)
}

// refuseOverLimit refuses a request that is over its account's limit.
func (f *Fronter) refuseOverLimit(c echo.Context, after time.Duration) error {
	const detail = "the client account sends more requests a second to this service, over all entries, than its limit allows"
	return f.fail(c, explainer.New(http.StatusTooManyRequests, attempt.OutcomeNotRun, "limit", detail), max(after, time.Second))
}
