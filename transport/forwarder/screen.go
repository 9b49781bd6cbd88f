package forwarder

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/coordination/quarantiner"
	"github.com/kingcupstile/kingcupstile/state/demand"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// maxSightings bounds the parts of one request that are reported when a runner is lost.
const maxSightings = 64

// informInterval is the time between two checks whether this entry, after a start or a pause, has learned what others found out.
const informInterval = 10 * time.Millisecond

// identifyParts returns the shared parts of a request's prompt.
func identifyParts(service string, d demand.Request) []suspect.Part {
	names := d.SharedParts()
	parts := make([]suspect.Part, 0, len(names))
	for _, name := range names {
		parts = append(parts, suspect.IdentifyPart(service, name))
	}
	return parts
}

// screen returns why a request must not be sent to a runner for a part of its prompt, nil if it may. A request with a part
// that is held back may be sent as the trial of it.
func (x *exchange) screen(state overseer.State, now time.Duration) *refusal {
	f := x.forwarder
	if len(x.parts) == 0 || x.endTrial != nil && !x.lostRunner {
		return nil
	}
	if x.lostRunner && !f.trials.HasAnswered(x.parts) || f.trials.IsReported(x.parts, state.IsEvidence, now) {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonPart, retryAfter: longRetryAfter}
	}
	if !state.IsInformed(now) && !f.trials.HasAnswered(x.parts) {
		return newBriefRefusal(reasonUninformed, longRetryAfter)
	}
	held := state.Held(x.parts)
	if len(held) == 0 {
		return nil
	}
	if !x.lostRunner && state.IsTrialPlace(held, now) {
		if end, begun := f.trials.Begin(held, x.service, state.PausedUntil(), now); begun {
			x.endTrial = end
			f.scope.Tagged(map[string]string{"service": x.service}).Counter("part_trials").Inc(1)
			f.log.Info("trying a request with a part that is held back", "request", x.request.ID, "parts", x.loggedParts(),
				"cost", f.trials.CostOf(x.service))
			return nil
		}
	}
	f.trials.RecordRefusal(held)
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonPart, retryAfter: quarantiner.RetryAfter(held, now)}
}

// awaitScreened does as screen, but waits for an entry that was paused to know again what others found out, for as long as the
// request can still be served.
func (x *exchange) awaitScreened(ctx context.Context) *refusal {
	f := x.forwarder
	waiting, stop := f.untilRefusing(ctx)
	defer stop()
	for {
		denied := x.screen(f.snapshot(), f.clock.Now())
		if denied == nil || denied.reason != reasonUninformed || f.clock.Now() >= x.latestStart() || !pauser.Wait(waiting, informInterval) {
			return denied
		}
	}
}

// leaveTrial ends the trial that the request is, if it is one.
func (x *exchange) leaveTrial() {
	if x.endTrial != nil {
		x.endTrial()
	}
}

// recordAnswered records that a runner began to answer the request, so that none of its parts crashes runners.
func (x *exchange) recordAnswered() {
	if len(x.parts) == 0 {
		return
	}
	f, now := x.forwarder, x.forwarder.clock.Now()
	f.trials.RecordAnswer(x.parts, now)
	x.leaveTrial()
	if state := f.snapshot(); state.HasEvidence() && slices.ContainsFunc(x.parts, state.IsEvidence) {
		f.report(overseer.PartsAnswered{Parts: x.parts, At: now})
	}
}

// recordWhole records that the request was answered in full, which clears it of crashes.
func (x *exchange) recordWhole() {
	f := x.forwarder
	if state := f.snapshot(); state.HasCrashes() && state.HasCrashed(x.fingerprint()) {
		f.report(overseer.RequestAnswered{Fingerprint: x.fingerprint(), At: f.clock.Now()})
	}
}

// recordLoss records that a runner was lost before it began to answer the request.
func (x *exchange) recordLoss(r runner.Runner, now time.Duration) {
	f := x.forwarder
	x.lostRunner = true
	f.scope.Tagged(map[string]string{"service": x.service}).Counter("runners_lost").Inc(1)
	seen := make([]suspect.Sighting, 0, len(x.parts))
	for _, part := range x.parts {
		seen = append(seen, suspect.Sighting{Part: part, AnsweredAt: f.trials.AnsweredAt(part)})
	}
	// Parts that were never answered come first, as they explain the loss best.
	slices.SortStableFunc(seen, func(a, b suspect.Sighting) int { return cmp.Compare(a.AnsweredAt, b.AnsweredAt) })
	seen = seen[:min(len(seen), maxSightings)]
	f.trials.RecordReported(seen, now)
	f.RecordLoss(x.service, now)
	f.report(overseer.RunnerCrashed{
		Fingerprint: x.fingerprint(), Runner: r.ID(), StartedAt: r.StartedAt(), Parts: seen, At: now,
	})
}

// RecordLoss records that a runner of a service was lost at a time.
func (f *Forwarder) RecordLoss(service string, at time.Duration) {
	f.trials.RecordLoss(service, at)
	f.recordOutage(service, at)
}

// Withhold withdraws the unanswered requests with some parts from runners, but for those parts of which this entry knows
// that they were answered before; these it reports.
func (f *Forwarder) Withhold(parts []suspect.Part) {
	var deadly []suspect.Part
	for _, part := range parts {
		if at := f.trials.AnsweredAt(part); at > 0 {
			f.report(overseer.PartsAnswered{Parts: []suspect.Part{part}, At: at})
			continue
		}
		deadly = append(deadly, part)
	}
	f.unanswered.Range(func(key, _ any) bool {
		c := key.(*call)
		isDeadly := slices.ContainsFunc(c.exchange.parts, func(part suspect.Part) bool { return slices.Contains(deadly, part) })
		if isDeadly {
			f.log.Info("withdrawing an unanswered request with a part that is held back", "request", c.exchange.request.ID,
				"runner", c.runner.ID())
			c.withdraw()
		}
		return true
	})
}
