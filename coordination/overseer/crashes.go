package overseer

import (
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

// crashesFor returns the crashes to report to another entry, the newest first: those of the last crashRepeats
// heartbeats, or all on record to an entry that was listed only recently. Both are cut off at maxCrashesPerHeartbeat.
func (s State) crashesFor(e entry, now time.Duration) []suspect.Crash {
	repeatFor := crashRepeats * s.HeartbeatInterval()
	since := now - repeatFor
	if now-e.listedAt < repeatFor {
		since = now - suspect.CrashRetention
	}
	list := s.crashes.Since(since)
	return list[:min(len(list), maxCrashesPerHeartbeat)]
}

func (s State) withCrash(e RunnerCrashed) (State, []Effect) {
	s.crashes = s.crashes.With(suspect.Crash{Fingerprint: e.Fingerprint, Runner: runner.Key(e.Runner), At: e.At})
	runners, _ := s.crashes.CountFor(e.Fingerprint)
	return s, []Effect{Log{Message: "runner lost while it ran a request", Args: []any{
		"fingerprint", e.Fingerprint, "runner", e.Runner, "runners", runners, "refused", runners >= crashLimit,
	}}}
}

// withPeerCrashes adds the crashes that another entry reports, with their times converted to this entry's clock; they
// come out later by the heartbeat's time in flight.
func (s State) withPeerCrashes(b peer.Heartbeat, at time.Duration) State {
	for _, c := range b.Crashes {
		c.At = at - (b.Sent - c.At)
		s.crashes = s.crashes.With(c)
	}
	return s
}

// withoutExpiredCrashes drops crashes older than suspect.CrashRetention.
func (s State) withoutExpiredCrashes(at time.Duration) State {
	s.crashes = s.crashes.WithoutBefore(at - suspect.CrashRetention)
	return s
}
