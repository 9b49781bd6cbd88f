package overseer

import (
	"fmt"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/quarantiner"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const (
	// maxPartsPerHeartbeat and maxPartsToNewcomer bound the parts in one heartbeat, the latter for entries that start or
	// return after a pause.
	maxPartsPerHeartbeat = 8
	maxPartsToNewcomer   = 64
	// maxTickGap is the time between two ticks from which on this process counts as having been paused.
	maxTickGap = 500 * time.Millisecond
	// informTime is how long after a start or a pause another entry's reply to a heartbeat is awaited, and quietTime how long
	// if no entry is heard from that may know more.
	informTime = 1500 * time.Millisecond
	quietTime  = 300 * time.Millisecond
	// sameStart is how close together entries start that are all restarted at once, so that none knows more.
	sameStart = 5 * time.Second
	// trialShare is how long after its release a part may be tried at twice as many entries.
	trialShare = time.Minute
)

// Held returns the parts among those of a request for which it is held back.
func (s State) Held(parts []suspect.Part) []quarantiner.Held {
	return quarantiner.HeldParts(s.parts, parts)
}

// HasEvidence reports whether there is evidence about any part; if there is none, no answer need be reported.
func (s State) HasEvidence() bool { return s.parts.Len() > 0 }

// IsEvidence reports whether there is evidence about a part.
func (s State) IsEvidence(part suspect.Part) bool {
	_, found := s.parts.Find(part)
	return found
}

// IsInformed reports whether this entry knows what others have found out of prompts that crash runners. Just after a start or
// a pause of the process it does not, until another entry has answered a heartbeat.
func (s State) IsInformed(now time.Duration) bool {
	switch {
	case s.hasPeers && len(s.peers) == 0:
		return true
	case s.tickedAt == 0 || now-s.tickedAt > maxTickGap:
		return false
	}
	running := now - s.runningSince
	return s.informedAt >= s.runningSince || running > informTime || running > quietTime && !s.hearsOfMore()
}

// PausedUntil returns until when this process was last paused, 0 if it never was.
func (s State) PausedUntil() time.Duration {
	if !s.wasPaused {
		return 0
	}
	return s.runningSince
}

// hearsOfMore reports whether an entry was heard from, since this one started or was paused, that may know more.
func (s State) hearsOfMore() bool {
	for _, e := range s.others() {
		isOlder := e.peer.Start < s.self.Start-sameStart.Nanoseconds()
		if e.heardAt >= s.runningSince && (isOlder || s.wasPaused) {
			return true
		}
	}
	return false
}

// IsTrialPlace reports whether this entry is one that may try requests with a part: the first live one by a hash, so that
// no two try a part at once, and more the longer it takes.
func (s State) IsTrialPlace(held []quarantiner.Held, now time.Duration) bool {
	for _, h := range held {
		own, before, places := trialHash(h.Part, s.self.Name), 0, 1
		for _, b := range s.Heartbeats(now) {
			if trialHash(h.Part, b.Name) < own {
				before++
			}
		}
		for late := now - quarantiner.ReleasedAt(h.Strikes); late > trialShare && places < len(s.peers); late -= trialShare {
			places *= 2
		}
		if before >= places {
			return false
		}
	}
	return !s.isIsolated(now)
}

// isIsolated reports whether other entries are registered and none of them is heard from.
func (s State) isIsolated(now time.Duration) bool {
	return len(s.peers) > 0 && len(s.Heartbeats(now)) == 0
}

func trialHash(part suspect.Part, entry string) uint32 {
	return runner.Key(fmt.Sprintf("%s/%x", entry, part))
}

// withTicked notes that the process runs, and since when without a pause.
func (s State) withTicked(at time.Duration) State {
	if s.tickedAt == 0 || at-s.tickedAt > maxTickGap {
		s.runningSince, s.wasPaused = at, s.tickedAt > 0
	}
	s.tickedAt = at
	return s
}

// withInformed notes when the heartbeat was sent of which another entry's heartbeat shows that it was received.
func (s State) withInformed(b peer.Heartbeat) State {
	if b.EchoStart == s.self.Start {
		s.informedAt = max(s.informedAt, b.Echo)
	}
	return s
}

// partsFor returns the evidence about parts to report to another entry.
func (s State) partsFor(e entry, now time.Duration) []suspect.Evidence {
	since, most := now-s.repeatTime(), maxPartsPerHeartbeat
	if s.isNewcomer(e, now) {
		since, most = 0, maxPartsToNewcomer
	}
	list := s.parts.ChangedSince(since)
	return list[:min(len(list), most)]
}

// withPeerParts merges the evidence that another entry reports. On this entry's clock, losses come out later by the
// heartbeat's time in flight, and answers earlier, so that none seems to follow a loss that it came before.
func (s State) withPeerParts(b peer.Heartbeat, at time.Duration) (State, []Effect) {
	if len(b.Parts) == 0 {
		return s, nil
	}
	sent := at - informTime
	if b.EchoStart == s.self.Start && b.Echo > 0 {
		sent = b.Echo + b.EchoDelay
	}
	next := s.parts
	for _, e := range b.Parts {
		losses := make([]suspect.Loss, 0, len(e.Losses()))
		for _, l := range e.Losses() {
			losses = append(losses, suspect.Loss{Runner: l.Runner, At: at - (b.Sent - l.At)})
		}
		answeredAt := time.Duration(0)
		if e.AnsweredAt() != 0 {
			answeredAt = max(1, sent-(b.Sent-e.AnsweredAt()))
		}
		next = next.WithEvidence(suspect.NewEvidence(e.Part(), losses, answeredAt), at)
	}
	return s.withParts(next)
}

// withPartsAnswered notes that a runner began to answer a request with some parts.
func (s State) withPartsAnswered(e PartsAnswered) (State, []Effect) {
	return s.withParts(s.parts.WithAnswer(e.At, e.At, e.Parts...))
}

// withSightings adds the loss of a runner that held an unanswered request with some parts.
func (s State) withSightings(e RunnerCrashed) (State, []Effect) {
	return s.withParts(s.parts.WithSightings(suspect.Loss{Runner: runner.IncarnationKey(e.Runner, e.StartedAt), At: e.At}, e.At, e.Parts...))
}

// withParts replaces the evidence about parts, and reports the parts on which the verdict changed.
func (s State) withParts(next suspect.Parts) (State, []Effect) {
	before := s.parts
	s.parts = next
	var effects []Effect
	var withheld []suspect.Part
	for _, part := range next.Struck() {
		strikes := next.Strikes(part)
		verdict := quarantiner.VerdictOn(strikes)
		if verdict == quarantiner.VerdictOn(before.Strikes(part)) {
			continue
		}
		if verdict != suspect.VerdictClear {
			withheld = append(withheld, part)
		}
		effects = append(effects, Log{Message: "verdict on a part of prompts changed", Args: []any{
			"part", formatPart(part), "verdict", verdict, "incidents", strikes.Count, "new", strikes.New,
		}})
	}
	for _, part := range before.Struck() {
		if quarantiner.VerdictOn(before.Strikes(part)) != suspect.VerdictClear && next.Strikes(part).Count == 0 {
			effects = append(effects, Log{Message: "verdict on a part of prompts changed", Args: []any{
				"part", formatPart(part), "verdict", suspect.VerdictClear,
			}})
		}
	}
	if len(withheld) > 0 {
		effects = append(effects, Withhold{Parts: withheld})
	}
	return s, effects
}

// formatPart returns a part as logs show it.
func formatPart(part suspect.Part) string { return fmt.Sprintf("%016x", uint64(part)) }

// withoutExpiredParts drops the evidence that is no longer of use.
func (s State) withoutExpiredParts(at time.Duration) State {
	s.parts = s.parts.WithoutExpired(func(e suspect.Evidence, strikes suspect.Strikes) bool {
		return quarantiner.IsExpired(e, strikes, at)
	})
	return s
}
