package overseer

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const (
	// crashLimit is how many runners a request may end before it is refused: fewer would blame those that run beside it,
	// as ranks of a group fail together, and the platform's rules count from the third.
	crashLimit = 3
	// toldBeats is in how many heartbeats a crash is told, as datagrams get lost.
	toldBeats = 15
	// mostTold bounds the crashes in one heartbeat, so that control traffic stays within 7 KB a second.
	mostTold = 8
)

// Condemned reports whether a request is refused as runners were lost under it, and until when.
func (s State) Condemned(f suspect.Fingerprint) (time.Duration, bool) {
	runners, last := s.crashes.Of(f)
	return last + suspect.CrashLife, runners >= crashLimit
}

// HasCrashes reports whether any crash is remembered.
func (s State) HasCrashes() bool { return s.crashes.Len() > 0 }

// news returns the crashes to tell an entry: those of late, and all that fit to one that is new.
func (s State) news(e entry, now time.Duration) []suspect.Crash {
	tellFor := toldBeats * s.BeatEvery()
	since := now - tellFor
	if now-e.since < tellFor {
		since = now - suspect.CrashLife
	}
	list := s.crashes.List(since)
	return list[:min(len(list), mostTold)]
}

func (s State) crashed(e Crashed) (State, []Effect) {
	s.crashes = s.crashes.With(suspect.Crash{Fingerprint: e.Fingerprint, Runner: runner.Key(e.Runner), At: e.At})
	runners, _ := s.crashes.Of(e.Fingerprint)
	return s, []Effect{Noted{What: "runner lost under a request", Details: []any{
		"fingerprint", e.Fingerprint, "runner", e.Runner, "runners", runners, "refused", runners >= crashLimit,
	}}}
}

// toldOfCrashes takes in the crashes that another entry tells of, on this entry's clock.
func (s State) toldOfCrashes(b peer.Beat, at time.Duration) State {
	for _, c := range b.Crashes {
		c.At = at - (b.Sent - c.At)
		s.crashes = s.crashes.With(c)
	}
	return s
}

// forgetCrashes drops those that no longer count.
func (s State) forgetCrashes(at time.Duration) State {
	s.crashes = s.crashes.Without(at - suspect.CrashLife)
	return s
}
