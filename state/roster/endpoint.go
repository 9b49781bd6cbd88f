package roster

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// State says whether an endpoint gets new work and, if not, why.
type State string

// The states of an endpoint. Only ready and kept endpoints get new work; a kept one would be delisted, silent or
// stalled, but too few endpoints of its pool would be left without it. A dead one is both delisted and silent.
const (
	StateUnknown  State = "unknown"
	StateDrained  State = "drained"
	StateLeaving  State = "leaving"
	StateDead     State = "dead"
	StateDelisted State = "delisted"
	StateSilent   State = "silent"
	StateStalled  State = "stalled"
	StateReady    State = "ready"
	StateKept     State = "kept"
)

// IsUsable reports whether an endpoint in this state gets new work.
func (s State) IsUsable() bool { return s == StateReady || s == StateKept }

// Report is the state of an endpoint process as it reports it.
type Report struct {
	incarnation attempt.Incarnation
	at          time.Time
	leaving     bool
	stalled     bool
	running     int
	ownAttempts int
}

// ReportOption sets a field of a Report under construction.
type ReportOption func(*Report)

// Leaving sets whether the endpoint is draining and takes no new work.
func Leaving(b bool) ReportOption { return func(r *Report) { r.leaving = b } }

// Stalled sets whether the endpoint's rank, or its group, has stopped taking steps.
func Stalled(b bool) ReportOption { return func(r *Report) { r.stalled = b } }

// Running sets the number of attempts that run on the endpoint, and how many of them belong to the daemon that reads
// the report.
func Running(all, own int) ReportOption {
	return func(r *Report) { r.running, r.ownAttempts = all, own }
}

// NewReport returns a report of an incarnation of the endpoint that arrived at the given time.
func NewReport(incarnation attempt.Incarnation, at time.Time, options ...ReportOption) Report {
	r := Report{incarnation: incarnation, at: at}
	for _, option := range options {
		option(&r)
	}
	return r
}

// At returns when the report arrived.
func (r Report) At() time.Time { return r.at }

// Endpoint is what a daemon knows of one endpoint process.
type Endpoint struct {
	vm         VM
	report     Report
	misses     int
	delistedAt time.Time
	state      State
}

// NewEndpoint returns an endpoint that has not reported yet, in StateUnknown.
func NewEndpoint(vm VM) Endpoint { return Endpoint{vm: vm, state: StateUnknown} }

// VM returns the endpoint's latest row of the VM list.
func (e Endpoint) VM() VM { return e.vm }

// Name returns the name of the endpoint's VM.
func (e Endpoint) Name() string { return e.vm.name }

// Incarnation returns the incarnation that sent the last report, empty if there is none.
func (e Endpoint) Incarnation() attempt.Incarnation { return e.report.incarnation }

// ReportedAt returns when the last report arrived, the zero time if there is none.
func (e Endpoint) ReportedAt() time.Time { return e.report.at }

// RunningAttempts returns the number of running attempts in the last report.
func (e Endpoint) RunningAttempts() int { return e.report.running }

// OtherAttempts returns the number of running attempts of other daemons in the last report.
func (e Endpoint) OtherAttempts() int { return max(0, e.report.running-e.report.ownAttempts) }

// OwnAttempts returns the number of attempts that this daemon had open on the endpoint when the last report arrived.
func (e Endpoint) OwnAttempts() int { return e.report.ownAttempts }

// Misses returns the number of polls that the endpoint has not answered since its last report.
func (e Endpoint) Misses() int { return e.misses }

// IsLeaving reports whether the endpoint's last report says that it is draining.
func (e Endpoint) IsLeaving() bool { return e.report.leaving }

// IsStalled reports whether the endpoint's last report says that its rank or group takes no steps.
func (e Endpoint) IsStalled() bool { return e.report.stalled }

// DelistedAt returns when the VM list lost the endpoint's row, the zero time if the row is there.
func (e Endpoint) DelistedAt() time.Time { return e.delistedAt }

// State returns the endpoint's state, which says whether it gets new work.
func (e Endpoint) State() State { return e.state }

// WithVM returns the endpoint with a newer row of the VM list.
func (e Endpoint) WithVM(vm VM) Endpoint {
	e.vm, e.delistedAt = vm, time.Time{}
	return e
}

// WithDelisted returns the endpoint marked as delisted at the given time, or unchanged if it is marked already.
func (e Endpoint) WithDelisted(at time.Time) Endpoint {
	if e.delistedAt.IsZero() {
		e.delistedAt = at
	}
	return e
}

// WithReport returns the endpoint with a new report and no missed polls.
func (e Endpoint) WithReport(r Report) Endpoint {
	e.report, e.misses = r, 0
	return e
}

// WithMiss returns the endpoint with one more missed poll.
func (e Endpoint) WithMiss() Endpoint {
	e.misses++
	return e
}

// WithState returns the endpoint in another state.
func (e Endpoint) WithState(s State) Endpoint {
	e.state = s
	return e
}
