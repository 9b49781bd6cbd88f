package fronter

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kingcupstile/kingcupstile/protocol/explainer"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// blameTimeout is how long a caller waits at most until other entries know of its request that an endpoint died under it.
const blameTimeout = 2 * time.Second

// judge returns how the request may run, and remembers how to identify it.
func (x *exchange) judge(identify func() suspect.Fingerprint) (suspect.Verdict, suspect.Record) {
	x.identify = identify
	if x.fronter.suspects == nil {
		return suspect.VerdictClear, suspect.Record{}
	}
	return x.fronter.suspects.Check(identify)
}

// isCrash reports whether a frame says that the back end ended in the middle of its answer.
func isCrash(f attempt.Frame) bool {
	return f.IsLast() && f.Outcome() == attempt.OutcomeUnknown && f.Reason() == attempt.ReasonEngineFailed
}

// blame tells of a request whose endpoint was lost while it ran, before the caller hears of it and can send it again.
func (x *exchange) blame() {
	if !x.lost || x.identify == nil || x.fronter.suspects == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.context.Request().Context()), blameTimeout)
	defer cancel()
	f := x.identify()
	x.log.Warn("endpoint lost under a request", "endpoint", x.attempt.Endpoint(), "fingerprint", f, "alone", x.attempt.IsAlone())
	x.fronter.scope.Counter("endpoints_lost").Inc(1)
	x.fronter.suspects.RecordCrash(ctx, f, x.access.service.Name(), x.attempt.Endpoint(), x.attempt.IsAlone())
}

// survive clears a suspect that ran whole.
func (x *exchange) survive() {
	if x.attempt.IsAlone() && x.identify != nil && x.fronter.suspects != nil {
		x.fronter.suspects.RecordSuccess(x.identify())
	}
}

// condemned refuses a request under which two endpoints died.
func (f *Fronter) condemned(c echo.Context, r suspect.Record) error {
	until := r.CrashedAlone().Add(suspect.RefusalPeriod)
	detail := "an endpoint died each time it ran this request, also when it ran nothing else; it is refused until " +
		until.UTC().Format(time.RFC3339) + ". Do not send it again unchanged: change its body, or give the operators the fingerprint " +
		string(r.Fingerprint())
	return f.fail(c, explainer.New(http.StatusUnprocessableEntity, attempt.OutcomeNotRun, "crashes", detail), 0)
}
