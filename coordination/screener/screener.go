package screener

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/poller"
	"github.com/kingcupstile/kingcupstile/state/pool"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// ReportTimeout is the age of the last report above which an endpoint gets no new work, if endpoints are polled every
// poller.MinInterval; it grows with the interval.
const ReportTimeout = 3 * time.Second

// MissedPollThreshold is the number of consecutive missed polls at which an endpoint gets no new work.
const MissedPollThreshold = 2

// DelistedRetention is how long an endpoint is kept after it left the VM list, if it still reports.
const DelistedRetention = time.Minute

// minUsablePercent is the share of the ready and unconfirmed endpoints of a pool, in percent, that always gets new
// work.
const minUsablePercent = 50

// DrainedFunc reports whether operators have drained the named endpoint.
type DrainedFunc func(endpoint string) bool

// Screener holds the inputs that are common to all endpoints.
type Screener struct {
	drained       DrainedFunc
	reportTimeout time.Duration
}

// New returns a screener for endpoints that are polled at the given mean interval. The report timeout grows by 5/4 of
// the interval, which leaves room for the jitter of polls.
func New(drained DrainedFunc, pollInterval time.Duration) Screener {
	return Screener{drained: drained, reportTimeout: ReportTimeout + (pollInterval-poller.MinInterval)*5/4}
}

// Screen returns the pool with each endpoint's state at the given time.
func (s Screener) Screen(p pool.Pool, now time.Time) pool.Pool {
	stalled := s.stalledGroups(p, now)
	states := make([]roster.State, p.Len())
	var unconfirmed []int
	ready := 0
	for i := range states {
		states[i] = s.stateOf(p.At(i), stalled, now)
		switch {
		case states[i] == roster.StateReady:
			ready++
		case isUnconfirmed(states[i]):
			unconfirmed = append(unconfirmed, i)
		}
	}
	for _, i := range selectKept(p, unconfirmed, ready) {
		states[i] = roster.StateKept
	}
	return p.WithStates(states)
}

// ApplyReport returns the pool after a report from the endpoint at an index. It screens the whole pool only if the
// endpoint is or was stalled; otherwise it updates that endpoint's state and leaves the minimum share to the next
// Screen.
func (s Screener) ApplyReport(p pool.Pool, i int, r roster.Report) pool.Pool {
	before := p.At(i)
	e := before.WithReport(r)
	if e.IsStalled() || before.IsStalled() || before.State() == roster.StateStalled {
		return s.Screen(p.WithAt(i, e), r.At())
	}
	next := s.stateOf(&e, nil, r.At())
	if isUnconfirmed(next) && before.State() == roster.StateKept {
		next = roster.StateKept
	}
	return p.WithAt(i, e.WithState(next))
}

// ApplyMissedPoll returns the pool after the endpoint at an index missed a poll.
func (s Screener) ApplyMissedPoll(p pool.Pool, i int, now time.Time) pool.Pool {
	e := p.At(i).WithMiss()
	p = p.WithAt(i, e)
	if e.Misses() < MissedPollThreshold {
		return p
	}
	return s.Screen(p, now)
}

// Expired returns the names of the endpoints to forget: those missing from the VM list that are silent, or that have
// been missing for longer than DelistedRetention and get no new work.
func (s Screener) Expired(p pool.Pool, now time.Time) []string {
	var expired []string
	for i := range p.Len() {
		e := p.At(i)
		if e.DelistedAt().IsZero() {
			continue
		}
		if s.isSilent(e, now) || now.Sub(e.DelistedAt()) > DelistedRetention && !e.State().IsUsable() {
			expired = append(expired, e.Name())
		}
	}
	return expired
}

// stateOf returns the state of one endpoint, before the minimum share is enforced.
func (s Screener) stateOf(e *roster.Endpoint, stalled map[string]bool, now time.Time) roster.State {
	delisted := !e.DelistedAt().IsZero() || e.VM().Status() == roster.StatusLeaving
	silent := s.isSilent(e, now)
	switch {
	case s.drained(e.Name()):
		return roster.StateDrained
	case e.Incarnation() == "":
		return roster.StateUnknown
	case e.IsLeaving():
		return roster.StateLeaving
	case delisted && silent:
		return roster.StateDead
	case delisted:
		return roster.StateDelisted
	case silent:
		return roster.StateSilent
	case e.IsStalled() || stalled[e.VM().Group()]:
		return roster.StateStalled
	}
	return roster.StateReady
}

// isUnconfirmed reports whether a state rests on one signal that may be a false alarm: the VM list alone, missed
// heartbeats alone, or a stall. An endpoint's own report that it is leaving needs no confirmation.
func isUnconfirmed(s roster.State) bool {
	return s == roster.StateDelisted || s == roster.StateSilent || s == roster.StateStalled
}

// selectKept returns the unconfirmed endpoints that go on getting new work to reach minUsablePercent, starting with the
// most recent reports.
func selectKept(p pool.Pool, unconfirmed []int, ready int) []int {
	missing := (minUsablePercent*(ready+len(unconfirmed))+99)/100 - ready
	if missing <= 0 {
		return nil
	}
	slices.SortStableFunc(unconfirmed, func(a, b int) int { return p.At(b).ReportedAt().Compare(p.At(a).ReportedAt()) })
	return unconfirmed[:missing]
}

func (s Screener) isSilent(e *roster.Endpoint, now time.Time) bool {
	return e.Misses() >= MissedPollThreshold || now.Sub(e.ReportedAt()) > s.reportTimeout
}

// stalledGroups returns the groups in which at least one endpoint that isn't silent reports a stall.
func (s Screener) stalledGroups(p pool.Pool, now time.Time) map[string]bool {
	var groups map[string]bool
	for i := range p.Len() {
		e := p.At(i)
		if e.IsStalled() && e.VM().Group() != "" && !s.isSilent(e, now) {
			if groups == nil {
				groups = map[string]bool{}
			}
			groups[e.VM().Group()] = true
		}
	}
	return groups
}
