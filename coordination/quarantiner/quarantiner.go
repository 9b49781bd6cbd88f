package quarantiner

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const (
	// knownAfter is how long after a loss what other entries know of its cause has arrived, and a further loss counts as
	// another incident.
	knownAfter = 3 * time.Second
	// maxSuspicion is how long after a single loss a part is tried at the latest.
	maxSuspicion = time.Minute
	// firstRefusal is how long a part is refused after its second incident, and refusalFactor how many times longer after
	// each further one, so that a part that stays deadly costs a few runners in all.
	firstRefusal  = 10 * time.Minute
	refusalFactor = 4
	// maxRefusal bounds that time.
	maxRefusal = 60 * 24 * time.Hour
	// priorGuilt is the probability that one of the suspects of a loss caused it.
	priorGuilt = 2.0 / 3
	// suspectRetryAfter is the retry delay for a part that may be tried and found sound at any time.
	suspectRetryAfter = 2 * time.Second
)

// severity returns the number of incidents that count against a part: one less if it was answered before, as it then
// rarely is the cause of a single one.
func severity(s suspect.Strikes) int {
	if s.New {
		return s.Count
	}
	return max(0, s.Count-1)
}

// VerdictOn returns how requests with a part may run.
func VerdictOn(s suspect.Strikes) suspect.Verdict {
	switch severity(s) {
	case 0:
		return suspect.VerdictClear
	case 1:
		return suspect.VerdictSuspect
	}
	return suspect.VerdictRefused
}

// ReleasedAt returns when a request with a part may be tried at the latest, whatever it costs to hold it back.
func ReleasedAt(s suspect.Strikes) time.Duration {
	n := severity(s)
	if n < 2 {
		return s.Last + maxSuspicion
	}
	refusal := firstRefusal
	for range n - 2 {
		refusal = min(refusal*refusalFactor, maxRefusal)
	}
	return s.Last + refusal
}

// IsExpired reports whether evidence about a part is no longer of use.
func IsExpired(e suspect.Evidence, s suspect.Strikes, now time.Duration) bool {
	last := max(e.LastLoss(), e.AnsweredAt())
	if s.Count > 0 {
		last = max(last, ReleasedAt(s))
	}
	return now-last > suspect.CrashRetention
}

// Held is a part for which a request is held back.
type Held struct {
	Part    suspect.Part
	Strikes suspect.Strikes
}

// HeldParts returns the parts among those of a request for which it is held back.
func HeldParts(known suspect.Parts, parts []suspect.Part) []Held {
	var held []Held
	for _, part := range parts {
		if s := known.Strikes(part); VerdictOn(s) != suspect.VerdictClear {
			held = append(held, Held{Part: part, Strikes: s})
		}
	}
	return held
}

// unknownCost is the cost of a loss that an entry did not live through.
const unknownCost = -1

// IsTrialDue reports whether a request that is held back for some parts may be tried. The trial of suspects is due once more
// callers were refused for each than would get no answer if the trial ends like the loss, by how many got none after that, times
// the odds that it does: neither holding a sound part back nor trying a deadly one then costs callers much more answers than was
// unavoidable. Where it is not known how many got none, the trial is due when the suspicion ends.
func IsTrialDue(held []Held, refused func(suspect.Part) int, cost int, now time.Duration) bool {
	guilt := 0.0
	for _, h := range held {
		guilt += priorGuilt / float64(max(1, h.Strikes.Suspects))
	}
	guilt = min(guilt, priorGuilt)
	threshold := float64(max(1, cost)) * guilt / (1 - guilt)
	for _, h := range held {
		isSuspect := VerdictOn(h.Strikes) == suspect.VerdictSuspect
		switch {
		case now-h.Strikes.Last < knownAfter:
			return false
		case now >= ReleasedAt(h.Strikes):
		case !isSuspect || cost == unknownCost || float64(refused(h.Part)) < threshold:
			return false
		}
	}
	return true
}

// RetryAfter returns how long a caller whose request is held back should wait.
func RetryAfter(held []Held, now time.Duration) time.Duration {
	longest := suspectRetryAfter
	for _, h := range held {
		if VerdictOn(h.Strikes) == suspect.VerdictRefused {
			longest = max(longest, ReleasedAt(h.Strikes)-now)
		}
	}
	return longest
}
