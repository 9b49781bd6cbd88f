package dispatcher

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/ledger"
)

// Reasons that a concluded request gives besides the endpoint's own.
const (
	ReasonTimeout     = "timeout"
	ReasonUnreachable = "unreachable"
	ReasonCut         = "cut"
	ReasonNoEndpoint  = "no-endpoint"
)

// DefaultAttempts is how many attempts a request gets at most unless an option says otherwise.
const DefaultAttempts = 3

// DefaultResumes is how many times in a row an answer is resumed without progress unless an option says otherwise.
const DefaultResumes = 8

// maxSettles is how many times the endpoint is asked never to start an attempt.
const maxSettles = 3

// The pause before an endpoint is asked again doubles from minPause to maxPause.
const (
	minPause = 50 * time.Millisecond
	maxPause = time.Second
)

// Dispatch is the state of one request at an entry.
type Dispatch struct {
	repeatable bool
	keyed      bool
	direct     bool
	attempts   int
	resumes    int
	avoid      []string
	number     int
	next       uint64
	resends    int
	failures   int
	settles    int
	sent       bool
	settling   bool
	doubt      bool
}

// Option sets a field of a Dispatch under construction.
type Option func(*Dispatch)

// Attempts sets how many attempts the request gets at most.
func Attempts(n int) Option { return func(d *Dispatch) { d.attempts = n } }

// Resumes sets how many times in a row the answer is resumed without progress.
func Resumes(n int) Option { return func(d *Dispatch) { d.resumes = n } }

// Direct says that attempts go to back ends that remember nothing of them: what was cut is never resumed there or
// settled, and a repeatable answer goes on at another endpoint after the last frame that was forwarded.
func Direct() Option { return func(d *Dispatch) { d.direct = true } }

// Resuming starts at an answer that is already under way, from the frame at offset on.
func Resuming(offset uint64) Option {
	return func(d *Dispatch) { d.next, d.sent, d.number = offset, true, 1 }
}

// New returns the state of a request whose first attempt is about to be sent.
func New(a attempt.Attempt, options ...Option) Dispatch {
	d := Dispatch{
		repeatable: a.IsRepeatable(),
		keyed:      a.Key() != "",
		attempts:   DefaultAttempts,
		resumes:    DefaultResumes,
		number:     1,
	}
	for _, option := range options {
		option(&d)
	}
	return d
}

// Number returns the number of the live attempt, from 1.
func (d Dispatch) Number() int { return d.number }

// Avoid returns the endpoints that the next attempt must not use, which the caller must not change.
func (d Dispatch) Avoid() []string { return d.avoid }

// Next returns the offset of the first frame that was not forwarded.
func (d Dispatch) Next() uint64 { return d.next }

// On returns the state and the action after an event of the live attempt at the named endpoint.
func (d Dispatch) On(endpoint string, event Event) (Dispatch, Action) {
	switch e := event.(type) {
	case Arrived:
		return d.arrived(endpoint, e.Frame)
	case Failed:
		return d.failed(endpoint, e.Sent)
	case Settled:
		return d.settled(endpoint, e)
	case Exhausted:
		return d, d.conclude(ReasonNoEndpoint)
	case Denied:
		return d, d.conclude(e.Reason)
	case TimedOut:
		d.doubt = d.doubt || d.sent || e.Sent || d.keyed
		return d, d.conclude(ReasonTimeout)
	}
	return d, Action{Do: DoIgnore}
}

func (d Dispatch) arrived(endpoint string, f attempt.Frame) (Dispatch, Action) {
	d.sent, d.settling = true, false
	switch {
	case f.IsLast() && f.Outcome() == attempt.OutcomeRan && f.Reason() != "":
		return d, Action{Do: DoConclude, Outcome: f.Outcome(), Reason: f.Reason()}
	case f.IsLast() && f.Outcome() != attempt.OutcomeRan:
		return d.refused(endpoint, f)
	case f.Offset() < d.next:
		return d, Action{Do: DoIgnore}
	case f.Offset() > d.next:
		return d.failed(endpoint, true)
	}
	d.next++
	d.failures = 0
	return d, Action{Do: DoForward, Frame: f}
}

// refused handles an attempt whose incarnation, or the process that answered in its place, has no answer for it.
func (d Dispatch) refused(endpoint string, f attempt.Frame) (Dispatch, Action) {
	certain := f.Outcome() == attempt.OutcomeNotRun
	switch {
	case d.direct && certain:
		return d.again(endpoint, f.Reason())
	case d.next > 0:
		return d.doubtful(f.Reason())
	case certain && d.keyed:
		return d, d.conclude(f.Reason())
	case certain:
		return d.again(endpoint, f.Reason())
	case d.repeatable:
		d.doubt = true
		return d.again(endpoint, f.Reason())
	case d.failures > 0 && f.Reason() == string(ledger.KindForgotten) && d.keyed && d.resends < d.attempts:
		return d.resend()
	case d.failures > 0 && f.Reason() == string(ledger.KindForgotten):
		return d.settle()
	}
	return d.doubtful(f.Reason())
}

func (d Dispatch) failed(endpoint string, sent bool) (Dispatch, Action) {
	d.sent = d.sent || sent
	if d.direct {
		return d.failedDirect(endpoint)
	}
	switch {
	case !d.sent && d.keyed && d.resends < d.attempts:
		return d.resend()
	case !d.sent && d.keyed:
		return d.doubtful(ReasonUnreachable)
	case !d.sent:
		return d.again(endpoint, ReasonUnreachable)
	case d.repeatable && d.next == 0 && d.failures > 0:
		d.doubt = true
		return d.again(endpoint, ReasonCut)
	case d.failures < d.resumes:
		return d.resume()
	case d.next > 0:
		return d.doubtful(ReasonCut)
	}
	return d.settle()
}

// failedDirect handles a connection to a back end that remembers nothing.
func (d Dispatch) failedDirect(endpoint string) (Dispatch, Action) {
	switch {
	case !d.sent:
		return d.again(endpoint, ReasonUnreachable)
	case d.repeatable:
		d.doubt = true
		return d.again(endpoint, ReasonCut)
	}
	return d.doubtful(ReasonCut)
}

// resend sends the live attempt again to the incarnation that it is bound to, which runs it once at most.
func (d Dispatch) resend() (Dispatch, Action) {
	d.resends++
	return d, Action{Do: DoSend, Wait: pause(d.resends)}
}

func (d Dispatch) resume() (Dispatch, Action) {
	d.failures++
	return d, Action{Do: DoResume, Offset: d.next, Wait: pause(d.failures - 1)}
}

func (d Dispatch) settle() (Dispatch, Action) {
	d.settles++
	d.settling = true
	return d, Action{Do: DoSettle, Wait: pause(d.settles - 1)}
}

// pause returns how long to wait before the nth try at the same endpoint after one at once.
func pause(n int) time.Duration {
	if n <= 0 {
		return 0
	}
	return min(maxPause, minPause<<min(n-1, 10))
}

func (d Dispatch) settled(endpoint string, e Settled) (Dispatch, Action) {
	if !d.settling {
		return d, Action{Do: DoIgnore}
	}
	d.settling = false
	switch {
	case e.Lost && d.settles < maxSettles:
		return d.settle()
	case !e.Lost && e.Outcome == attempt.OutcomeNotRun && !d.keyed:
		return d.again(endpoint, ReasonUnreachable)
	case !e.Lost && e.Outcome == attempt.OutcomeNotRun:
		return d, d.conclude(ReasonUnreachable)
	}
	return d.doubtful(ReasonCut)
}

// again starts another attempt elsewhere, or concludes when none is left.
func (d Dispatch) again(endpoint, reason string) (Dispatch, Action) {
	if d.number >= d.attempts {
		return d, d.conclude(reason)
	}
	d.avoid = append(slices.Clip(d.avoid), endpoint)
	d.number++
	d.sent, d.failures, d.settles = false, 0, 0
	return d, Action{Do: DoSend, Reason: reason}
}

// doubtful concludes a request of which an attempt may have run.
func (d Dispatch) doubtful(reason string) (Dispatch, Action) {
	d.doubt = true
	return d, d.conclude(reason)
}

func (d Dispatch) conclude(reason string) Action {
	outcome := attempt.OutcomeNotRun
	if d.doubt || d.next > 0 {
		outcome = attempt.OutcomeUnknown
	}
	return Action{Do: DoConclude, Outcome: outcome, Reason: reason}
}
