package dispatcher

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/ledger"
)

// Reasons for a conclusion that the entry itself determines; all other reasons come from the endpoint.
const (
	// ReasonTimeout is the reason of a request whose deadline passed.
	ReasonTimeout = "timeout"
	// ReasonUnreachable is the reason of an attempt that could not be sent, or that can no longer start at its endpoint.
	ReasonUnreachable = "unreachable"
	// ReasonCut is the reason of an attempt whose connection was lost after it was sent.
	ReasonCut = "cut"
	// ReasonPaused is the reason of an attempt that begins beside one whose answer paused.
	ReasonPaused = "paused"
	// ReasonWithheld is the reason of an attempt that was not sent as its endpoint was closed for new attempts.
	ReasonWithheld = "withheld"
	// ReasonNoEndpoint is the reason of a request for whose next attempt no endpoint is available.
	ReasonNoEndpoint = "no-endpoint"
)

// DefaultMaxAttempts is the maximum number of attempts of a request unless an option sets another.
const DefaultMaxAttempts = 3

// DefaultMaxResumes is the maximum number of consecutive resumes without a new frame unless an option sets another.
const DefaultMaxResumes = 8

// maxSettleTries is how many times settling one attempt is tried, the first time included.
const maxSettleTries = 3

// The backoff between retries at the same endpoint doubles from minBackoff up to maxBackoff.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Dispatch is the immutable state of one request at an entry.
type Dispatch struct {
	repeatable     bool
	keyed          bool
	direct         bool
	maxAttempts    int
	maxResumes     int
	avoid          []string
	number         int
	nextOffset     uint64
	resends        int
	streamFailures int
	settleTries    int
	// sent is whether anything of the current attempt may have been written.
	sent bool
	// settling is whether the result of DoSettle is outstanding.
	settling bool
	// mayHaveRun is whether any attempt may have run, so that the request must not be concluded as not run.
	mayHaveRun bool
}

// Option sets a field of a Dispatch under construction.
type Option func(*Dispatch)

// MaxAttempts sets the maximum number of attempts, and of resends of an attempt under an idempotency key.
func MaxAttempts(n int) Option { return func(d *Dispatch) { d.maxAttempts = n } }

// MaxResumes sets the maximum number of consecutive resumes without a new frame.
func MaxResumes(n int) Option { return func(d *Dispatch) { d.maxResumes = n } }

// Direct marks a request whose attempts go straight to runners, which keep no record of them. An answer that breaks
// off is neither resumed nor settled there; a repeatable request is sent to another runner instead, and its answer
// continues after the last forwarded frame.
func Direct() Option { return func(d *Dispatch) { d.direct = true } }

// ResumeFrom starts with an attempt that was already sent and whose answer is wanted from the frame at offset on.
func ResumeFrom(offset uint64) Option {
	return func(d *Dispatch) { d.nextOffset, d.sent, d.number = offset, true, 1 }
}

// New returns the state of a request before its first attempt is sent.
func New(a attempt.Attempt, options ...Option) Dispatch {
	d := Dispatch{
		repeatable:  a.IsRepeatable(),
		keyed:       a.Key() != "",
		maxAttempts: DefaultMaxAttempts,
		maxResumes:  DefaultMaxResumes,
		number:      1,
	}
	for _, option := range options {
		option(&d)
	}
	return d
}

// Number returns the number of the last attempt, from 1.
func (d Dispatch) Number() int { return d.number }

// MayHaveRun reports whether any attempt may have run.
func (d Dispatch) MayHaveRun() bool { return d.mayHaveRun || d.nextOffset > 0 }

// Avoid returns the endpoints that the next attempt must not use; the caller must not modify the slice.
func (d Dispatch) Avoid() []string { return d.avoid }

// NextOffset returns the offset of the first frame that was not forwarded yet.
func (d Dispatch) NextOffset() uint64 { return d.nextOffset }

// WithEvent returns the state after an event of the current attempt at the named endpoint, and the next action.
func (d Dispatch) WithEvent(endpoint string, event Event) (Dispatch, Action) {
	switch e := event.(type) {
	case FrameReceived:
		return d.withFrame(endpoint, e.Frame)
	case ConnectionFailed:
		if e.Unresumable {
			return d.concludeUnknown(ReasonCut)
		}
		return d.withConnectionFailed(endpoint, e.Sent)
	case SettleResult:
		return d.withSettleResult(endpoint, e)
	case NoEndpointLeft:
		return d, d.conclude(ReasonNoEndpoint)
	case SendDenied:
		return d, d.conclude(e.Reason)
	case AnswerPaused:
		return d.withPaused(endpoint)
	case StandbyFailed:
		d.avoid = append(slices.Clip(d.avoid), endpoint)
		return d, Action{Do: DoIgnore}
	case SendWithheld:
		return d, Action{Do: DoSend, Reason: ReasonWithheld}
	case StandbyWithheld:
		d.number--
		return d, Action{Do: DoIgnore}
	case DeadlineExceeded:
		d.mayHaveRun = d.mayHaveRun || d.sent || e.Sent || d.keyed
		return d, d.conclude(ReasonTimeout)
	}
	return d, Action{Do: DoIgnore}
}

// withFrame forwards the next frame of the answer and ignores one that was forwarded before. A gap before the frame
// counts as a failed connection. A last frame without a complete answer concludes the request if the attempt ran, and
// otherwise is a refusal.
func (d Dispatch) withFrame(endpoint string, f attempt.Frame) (Dispatch, Action) {
	d.sent, d.settling = true, false
	switch {
	case f.IsLast() && f.Outcome() == attempt.OutcomeRan && f.Reason() != "":
		return d, Action{Do: DoConclude, Outcome: f.Outcome(), Reason: f.Reason()}
	case f.IsLast() && f.Outcome() != attempt.OutcomeRan:
		return d.withRefused(endpoint, f)
	case f.Offset() < d.nextOffset:
		return d, Action{Do: DoIgnore}
	case f.Offset() > d.nextOffset:
		return d.withConnectionFailed(endpoint, true)
	}
	d.nextOffset++
	d.streamFailures = 0
	return d, Action{Do: DoForward, Frame: f}
}

// withRefused handles a last frame that says the attempt did not run or that its outcome is unknown: its incarnation,
// or another process that answered in its place, has no complete answer for it.
func (d Dispatch) withRefused(endpoint string, f attempt.Frame) (Dispatch, Action) {
	certain := f.Outcome() == attempt.OutcomeNotRun
	switch {
	case d.direct && certain:
		return d.tryElsewhere(endpoint, f.Reason())
	case d.nextOffset > 0:
		return d.concludeUnknown(f.Reason())
	case certain && d.keyed:
		return d, d.conclude(f.Reason())
	case certain:
		return d.tryElsewhere(endpoint, f.Reason())
	case d.repeatable:
		d.mayHaveRun = true
		return d.tryElsewhere(endpoint, f.Reason())
	case d.streamFailures > 0 && f.Reason() == string(ledger.KindForgotten) && d.keyed && d.resends < d.maxAttempts:
		return d.resend()
	case d.streamFailures > 0 && f.Reason() == string(ledger.KindForgotten):
		return d.settle()
	}
	return d.concludeUnknown(f.Reason())
}

// withConnectionFailed sends an attempt of which nothing was written again: to the same endpoint under an idempotency
// key, otherwise to another. The answer to one that was written is resumed, up to maxResumes times in a row; after that
// the attempt is settled, or its outcome is unknown if a frame was forwarded. A repeatable attempt without a frame
// goes to another endpoint as soon as its connection fails a second time.
func (d Dispatch) withConnectionFailed(endpoint string, sent bool) (Dispatch, Action) {
	d.sent = d.sent || sent
	if d.direct {
		return d.withDirectFailed(endpoint)
	}
	switch {
	case !d.sent && d.keyed && d.resends < d.maxAttempts:
		return d.resend()
	case !d.sent && d.keyed:
		return d.concludeUnknown(ReasonUnreachable)
	case !d.sent:
		return d.tryElsewhere(endpoint, ReasonUnreachable)
	case d.repeatable && d.nextOffset == 0 && d.streamFailures > 0:
		d.mayHaveRun = true
		return d.tryElsewhere(endpoint, ReasonCut)
	case d.streamFailures < d.maxResumes:
		return d.resume()
	case d.nextOffset > 0:
		return d.concludeUnknown(ReasonCut)
	}
	return d.settle()
}

// withDirectFailed handles a failed connection to a runner, which keeps no record of the attempt.
func (d Dispatch) withDirectFailed(endpoint string) (Dispatch, Action) {
	switch {
	case !d.sent:
		return d.tryElsewhere(endpoint, ReasonUnreachable)
	case d.repeatable:
		d.mayHaveRun = true
		return d.tryElsewhere(endpoint, ReasonCut)
	}
	return d.concludeUnknown(ReasonCut)
}

// withPaused has another attempt begin beside the current one, if one is allowed. A pause alone ends no attempt: the endpoint
// may still work on it.
func (d Dispatch) withPaused(endpoint string) (Dispatch, Action) {
	if !d.direct || !d.repeatable || d.number >= d.maxAttempts {
		return d, Action{Do: DoIgnore}
	}
	d.avoid = append(slices.Clip(d.avoid), endpoint)
	d.number++
	d.mayHaveRun = true
	return d, Action{Do: DoStandby, Reason: ReasonPaused}
}

// resend sends the current attempt again to the incarnation that it is bound to, which runs it at most once.
func (d Dispatch) resend() (Dispatch, Action) {
	d.resends++
	return d, Action{Do: DoSend, Wait: backoff(d.resends)}
}

// resume requests the answer again from the first frame that was not forwarded; the first resume does not wait.
func (d Dispatch) resume() (Dispatch, Action) {
	d.streamFailures++
	return d, Action{Do: DoResume, Offset: d.nextOffset, Wait: backoff(d.streamFailures - 1)}
}

// settle asks the endpoint never to start the attempt, and for the outcome that is certain after that.
func (d Dispatch) settle() (Dispatch, Action) {
	d.settleTries++
	d.settling = true
	return d, Action{Do: DoSettle, Wait: backoff(d.settleTries - 1)}
}

// backoff returns the wait before retry n at the same endpoint: 0 for n = 0, then minBackoff, doubling with each retry.
func backoff(n int) time.Duration {
	if n <= 0 {
		return 0
	}
	return min(maxBackoff, minBackoff<<min(n-1, 10))
}

// withSettleResult settles again if there was no reply. If the attempt did not run, the request goes to another
// endpoint, or is concluded if an idempotency key binds it to this one.
func (d Dispatch) withSettleResult(endpoint string, e SettleResult) (Dispatch, Action) {
	if !d.settling {
		return d, Action{Do: DoIgnore}
	}
	d.settling = false
	switch {
	case e.NoReply && d.settleTries < maxSettleTries:
		return d.settle()
	case !e.NoReply && e.Outcome == attempt.OutcomeNotRun && !d.keyed:
		return d.tryElsewhere(endpoint, ReasonUnreachable)
	case !e.NoReply && e.Outcome == attempt.OutcomeNotRun:
		return d, d.conclude(ReasonUnreachable)
	}
	return d.concludeUnknown(ReasonCut)
}

// tryElsewhere sends the next attempt to another endpoint, or concludes the request if its attempts are used up.
func (d Dispatch) tryElsewhere(endpoint, reason string) (Dispatch, Action) {
	if d.number >= d.maxAttempts {
		return d, d.conclude(reason)
	}
	d.avoid = append(slices.Clip(d.avoid), endpoint)
	d.number++
	d.sent, d.streamFailures, d.settleTries = false, 0, 0
	return d, Action{Do: DoSend, Reason: reason}
}

// concludeUnknown concludes a request that may have run, wholly or in part.
func (d Dispatch) concludeUnknown(reason string) (Dispatch, Action) {
	d.mayHaveRun = true
	return d, d.conclude(reason)
}

// conclude ends the request as not run, unless an attempt may have run or a frame was forwarded.
func (d Dispatch) conclude(reason string) Action {
	outcome := attempt.OutcomeNotRun
	if d.MayHaveRun() {
		outcome = attempt.OutcomeUnknown
	}
	return Action{Do: DoConclude, Outcome: outcome, Reason: reason}
}
