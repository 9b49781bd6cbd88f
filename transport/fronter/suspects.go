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

// crashReportTimeout is how long a caller's answer is held back at most while the crash is reported to other entries.
const crashReportTimeout = 2 * time.Second

// checkSuspect returns whether the request may run, must run alone or is refused, and keeps identify for later reports.
func (x *exchange) checkSuspect(identify func() suspect.Fingerprint) (suspect.Verdict, suspect.Record) {
	x.identify = identify
	if x.fronter.suspects == nil {
		return suspect.VerdictClear, suspect.Record{}
	}
	return x.fronter.suspects.Check(identify)
}

// isEngineFailure reports whether a frame says that the runner failed in the middle of its answer.
func isEngineFailure(f attempt.Frame) bool {
	return f.IsLast() && f.Outcome() == attempt.OutcomeUnknown && f.Reason() == attempt.ReasonEngineFailed
}

// reportCrash reports a request whose endpoint was lost while it ran. It runs before the caller is answered, so that a
// resend reaches entries that know of the crash.
func (x *exchange) reportCrash() {
	if !x.endpointLost || x.identify == nil || x.fronter.suspects == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.context.Request().Context()), crashReportTimeout)
	defer cancel()
	f := x.identify()
	x.log.Warn("endpoint or its engine lost while running the request; reporting the crash to other entries",
		"endpoint", x.attempt.Endpoint(), "fingerprint", f, "alone", x.attempt.IsAlone())
	x.fronter.scope.Counter("endpoints_lost").Inc(1)
	x.fronter.suspects.RecordCrash(ctx, f, x.access.service.Name(), x.attempt.Endpoint(), x.attempt.IsAlone())
}

// clearSuspect clears a suspected request that ran alone to a complete answer.
func (x *exchange) clearSuspect() {
	if x.attempt.IsAlone() && x.identify != nil && x.fronter.suspects != nil {
		x.fronter.suspects.RecordSuccess(x.identify())
	}
}

// refuseCrashing refuses a request under which two endpoints crashed, one of them while it ran nothing else.
func (f *Fronter) refuseCrashing(c echo.Context, r suspect.Record) error {
	until := r.CrashedAlone().Add(suspect.RefusalPeriod)
	detail := "an endpoint died each time it ran this request, also when it ran nothing else; it is refused until " +
		until.UTC().Format(time.RFC3339) + ". Do not send it again unchanged: change its body, or give the operators the fingerprint " +
		string(r.Fingerprint())
	return f.fail(c, explainer.New(http.StatusUnprocessableEntity, attempt.OutcomeNotRun, "crashes", detail), 0)
}
