package overseer

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const (
	// crashLimit is the number of runners lost under a request at which it is refused. A lower limit would also refuse
	// requests that only ran beside the cause, as the ranks of a group fail together; the platform's rules count from
	// the third loss.
	crashLimit = 3
	// crashRepeats is in how many heartbeats a crash is reported, as datagrams get lost.
	crashRepeats = 15
	// maxCrashesPerHeartbeat bounds the crashes in one heartbeat, so that control traffic stays within 7 KB a second.
	maxCrashesPerHeartbeat = 8
)

// RefusedUntil reports whether a request is refused because crashLimit or more runners were lost while they ran it, and
// until when, on this entry's clock; the time means nothing if it is not refused.
func (s State) RefusedUntil(f suspect.Fingerprint) (time.Duration, bool) {
	runners, last := s.crashes.CountFor(f)
	return last + suspect.CrashRetention, runners >= crashLimit
}

// HasCrashes reports whether any crash is on record; if none is, no fingerprint need be computed.
func (s State) HasCrashes() bool { return s.crashes.Len() > 0 }

// repeatTime returns for how long news of crashes are repeated.
func (s State) repeatTime() time.Duration { return crashRepeats * s.HeartbeatInterval() }

// isNewcomer reports whether another entry was listed only recently, or was heard from again after a pause, so that it may
// know nothing of what was reported before.
func (s State) isNewcomer(e entry, now time.Duration) bool {
	return now-max(e.listedAt, e.returnedAt) < s.repeatTime()
}

// crashesFor returns the crashes to report to another entry, those under the request with the most of them first: those that
// became known here in the last crashRepeats heartbeats, or all on record to a newcomer, of either at most
// maxCrashesPerHeartbeat.
func (s State) crashesFor(e entry, now time.Duration) []suspect.Crash {
	list := s.crashes.KnownSince(s.crashNewsSince(e, now))
	return list[:min(len(list), maxCrashesPerHeartbeat)]
}

// crashNewsSince returns the time since which what became known of crashes is reported to another entry.
func (s State) crashNewsSince(e entry, now time.Duration) time.Duration {
	if s.isNewcomer(e, now) {
		return now - suspect.CrashRetention
	}
	return now - s.repeatTime()
}

func (s State) withCrash(e RunnerCrashed) (State, []Effect) {
	c := suspect.Crash{Fingerprint: e.Fingerprint, Runner: runner.IncarnationKey(e.Runner, e.StartedAt), At: e.At}
	s, lost := s.withNewCrash(c, e.At)
	s, judged := s.withSightings(e)
	runners, _ := s.crashes.CountFor(e.Fingerprint)
	crash := Log{Message: "runner lost that held an unanswered request", Args: []any{
		"fingerprint", e.Fingerprint, "runner", e.Runner, "runners", runners, "refused", runners >= crashLimit, "parts", len(e.Parts),
	}}
	return s, slices.Concat([]Effect{crash}, lost, judged)
}

// withPeerCrashes adds the crashes that another entry reports, with their times converted to this entry's clock; they
// come out later by the heartbeat's time in flight.
func (s State) withPeerCrashes(b peer.Heartbeat, at time.Duration) (State, []Effect) {
	var effects []Effect
	for _, c := range b.Crashes {
		c.At = at - (b.Sent - c.At)
		var lost []Effect
		s, lost = s.withNewCrash(c, at)
		effects = append(effects, lost...)
	}
	return s, effects
}

// withNewCrash adds a crash, and reports the loss of the runner if no crash of it was known. One under an answer that had begun
// is known only some time after the loss, when it is no news of an outage.
func (s State) withNewCrash(c suspect.Crash, now time.Duration) (State, []Effect) {
	isKnown := s.crashes.HasRunner(c.Runner, c.At)
	s.crashes = s.crashes.With(now, c)
	if isKnown || c.Begun {
		return s, nil
	}
	r, found := s.runners.ByKey(c.Runner)
	if !found {
		return s, nil
	}
	return s, []Effect{RunnerLost{Service: r.Service(), At: c.At}}
}

// withoutExpiredCrashes drops crashes older than suspect.CrashRetention, and broken answers older than cutPeriod.
func (s State) withoutExpiredCrashes(at time.Duration) State {
	s.cuts = s.cuts.WithoutBefore(at - cutPeriod)
	s.crashes = s.crashes.WithoutBefore(at - suspect.CrashRetention)
	return s
}
