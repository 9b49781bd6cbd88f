package overseer

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// cutPeriod is how long after an answer was broken off the loss of the runner may become known: its registration lapses after
// three heartbeats, or it is registered anew.
const cutPeriod = 6 * time.Second

// HasCut reports whether a runner broke off an answer lately, so that news of the runner tell whether it crashed.
func (s State) HasCut(r runner.Runner) bool {
	return s.cuts.Len() > 0 && s.cuts.Has(runner.IncarnationKey(r.ID(), r.StartedAt()))
}

// HasCrashed reports whether a crash of which a request has not been cleared is on record.
func (s State) HasCrashed(f suspect.Fingerprint) bool {
	runners, _ := s.crashes.CountFor(f)
	return runners > 0
}

// withCut notes that a runner broke off an answer. One that is known to leave or to be gone ends its connections without a
// crash.
func (s State) withCut(e AnswerCut) State {
	key := runner.IncarnationKey(e.Runner, e.StartedAt)
	if r, found := s.runners.ByKey(key); found && r.IsReady() {
		s.cuts = s.cuts.WithCut(key, suspect.Cut{Fingerprint: e.Fingerprint, At: e.At})
	}
	return s
}

// withRunnerSeen forgets what a runner broke off that answers a later request, or counts it as lost if it is not at its address.
func (s State) withRunnerSeen(e RunnerSeen) (State, []Effect) {
	key := runner.IncarnationKey(e.Runner, e.StartedAt)
	if e.Alive {
		s.cuts = s.cuts.WithoutOf(key, e.SentAt)
		return s, nil
	}
	return s.withCutsAsCrashes(key, e.SentAt)
}

// withCutsJudged counts the answers that were broken off by runners which are no longer registered as crashes, and forgets
// those by runners that leave.
func (s State) withCutsJudged(now time.Duration) (State, []Effect) {
	var effects []Effect
	for _, key := range s.cuts.Runners() {
		r, found := s.runners.ByKey(key)
		switch {
		case !found:
			var logs []Effect
			s, logs = s.withCutsAsCrashes(key, now)
			effects = append(effects, logs...)
		case !r.IsReady():
			s.cuts = s.cuts.Without(key)
		}
	}
	return s, effects
}

// withCutsAsCrashes counts the answers that a start of a runner broke off as crashes under their requests.
func (s State) withCutsAsCrashes(key uint32, now time.Duration) (State, []Effect) {
	list := s.cuts.CrashesOf(key)
	s.cuts, s.crashes = s.cuts.Without(key), s.crashes.With(now, list...)
	effects := make([]Effect, 0, len(list))
	for _, c := range list {
		runners, _ := s.crashes.CountFor(c.Fingerprint)
		effects = append(effects, Log{Message: "runner lost while it answered a request", Args: []any{
			"fingerprint", c.Fingerprint, "runners", runners, "refused", runners >= crashLimit,
		}})
	}
	return s, effects
}

// answersFor returns the answers that clear requests of crashes, to report to another entry, as crashesFor does crashes.
func (s State) answersFor(e entry, now time.Duration) []suspect.Answer {
	list := s.crashes.AnswersKnownSince(s.crashNewsSince(e, now))
	return list[:min(len(list), maxCrashesPerHeartbeat)]
}

// withPeerAnswers takes in the answers that another entry reports, with their times converted to this entry's clock.
func (s State) withPeerAnswers(b peer.Heartbeat, at time.Duration) State {
	for _, a := range b.Answers {
		a.At = at - (b.Sent - a.At)
		s.crashes = s.crashes.WithAnswer(a, at)
	}
	return s
}
