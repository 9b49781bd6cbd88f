package forwarder

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/coordination/placer"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	// probeWait is how long the replies to load probes are awaited: a round trip between data centres and a turn of the
	// processor on the runner's VM.
	probeWait = 8 * time.Millisecond
	// minProbeInterval is the shortest time between two rounds of probes for a request that found no room.
	minProbeInterval = 15 * time.Millisecond
	// offsetSteps is the resolution of the offset by which runners round the allowed requests differently.
	offsetSteps = 1024
)

// room says whether a runner was found and has room.
type room string

const (
	roomFound room = "found"
	// roomFull is that all runners that were asked are full.
	roomFull room = "full"
	// roomNone is that no runner takes new work.
	roomNone room = "none"
)

// place chooses the runner for the next attempt, which may be the first or a later one. Where the load of runners is probed, it waits
// for room until a time at most.
func (x *exchange) place(ctx context.Context, until time.Duration) (runner.Runner, room) {
	for {
		chosen, found := x.choose(ctx, until)
		if found == roomFound && !x.forwarder.takesWork(chosen) {
			// The choice was made by an earlier state.
			continue
		}
		if found == roomCold {
			if x.awaitCold(ctx, until) {
				continue
			}
			return chosen, roomFull
		}
		if found != roomFound || x.forwarder.tracker.Admit(chosen.ID(), x.forwarder.clock.Now()) {
			return chosen, found
		}
	}
}

// choose does as place, but for runners that want no requests it only avoids those of which this is certain.
func (x *exchange) choose(ctx context.Context, until time.Duration) (runner.Runner, room) {
	f := x.forwarder
	since, urgency := f.clock.Now(), x.access.urgency
	x.gate.RecordSearch(urgency, since)
	var tried []string
	for {
		state, now := f.snapshot(), f.clock.Now()
		heartbeats := state.Heartbeats(now)
		view := f.tracker.View(heartbeats, now)
		runners := state.Usable(x.service)
		request := placer.Request{Centre: state.Self().Centre, Avoid: x.dispatch.Avoid()}.WithAvoided(f.tracker.Resting(now))
		if !state.KnowsEvacuations(now) {
			return runner.Runner{}, roomNone
		}
		if x.restEnd = x.nextRestEnd(runners, now); x.restEnd > now {
			return runner.Runner{}, roomFull
		}
		if !f.IsProbed(state, x.service, len(heartbeats)+1) {
			return x.placeUnasked(ctx, view, runners, request)
		}
		request.Plan = x.plan(runners, since, until)
		sample := placer.Sample(runners, request.WithAvoided(tried))
		if len(sample) == 0 {
			tried, sample = nil, placer.Sample(runners, request)
		}
		for _, r := range sample {
			tried = append(tried, r.ID())
		}
		best, hasRoom, known := x.probe(ctx, view, sample, request)
		switch {
		case !known:
			// Nothing is known of the load, which is no reason to refuse.
			return x.placeUnasked(ctx, view, runners, request)
		case !f.takesWork(best):
			// The runner began to drain while the probe was under way.
			if ctx.Err() != nil {
				return best, roomNone
			}
		case hasRoom && x.announce(best):
			x.gate.RecordRoom(urgency, now-since, true, now)
			return best, roomFound
		default:
			interval := x.probeInterval()
			if now+max(interval, x.gate.Vacancy(urgency).Wait(now)) >= until || !pauser.Wait(ctx, interval) {
				x.gate.RecordRoom(urgency, now-since, false, now)
				return best, roomFull
			}
		}
	}
}

// probeInterval returns the time between two rounds of probes: room comes up as a pass ends, which is when events come.
func (x *exchange) probeInterval() time.Duration {
	return max(minProbeInterval, x.gate.Pace().MeanGap())
}

// nextRestEnd returns when the first runner wants requests again if all that take new work and were not tried yet want none
// now, else 0.
func (x *exchange) nextRestEnd(runners []runner.Runner, now time.Duration) time.Duration {
	first := time.Duration(0)
	resting := x.forwarder.tracker.Resting(now)
	for _, r := range runners {
		if !r.IsReady() || slices.Contains(x.dispatch.Avoid(), r.ID()) {
			continue
		}
		if !slices.Contains(resting, r.ID()) {
			return 0
		}
		if end := x.forwarder.tracker.RestEnd(r.ID(), now); first == 0 || end < first {
			first = end
		}
	}
	return first
}

// takesWork reports whether a runner is registered, takes new work and may receive requests now.
func (f *Forwarder) takesWork(r runner.Runner) bool {
	state := f.snapshot()
	registered, found := state.Runners().Runner(r.ID())
	return found && registered.IsReady() && state.MaySend(registered, f.clock.Now())
}

// placed returns the result of choosing a runner without knowing its room.
func placed(r runner.Runner, found bool) (runner.Runner, room) {
	if !found {
		return r, roomNone
	}
	return r, roomFound
}

// probe asks runners for their load and returns the best of those that answered, and false if none did.
func (x *exchange) probe(
	ctx context.Context, view placer.View, sample []runner.Runner, request placer.Request,
) (best runner.Runner, hasRoom, known bool) {
	addresses := make([]string, len(sample))
	for i, r := range sample {
		addresses[i] = r.Address()
	}
	loads := x.forwarder.prober.Probe(ctx, addresses, probeWait)
	var probed []placer.Probed
	now := x.forwarder.clock.Now()
	for _, r := range sample {
		if l, answered := loads[r.Address()]; answered {
			probed = append(probed, placer.Probed{Runner: r, Open: l.Open})
			x.gate.RecordProbe(l.Open, r.Slots(), roundingOffset(r), now)
		}
	}
	x.recordRoom(sample, loads, now)
	scope := x.forwarder.scope.Tagged(map[string]string{"service": x.service})
	scope.Gauge("level").Update(x.gate.Level().Limit())
	scope.Tagged(map[string]string{"urgency": strconv.Itoa(x.access.urgency)}).Gauge("part").Update(x.gate.Part(x.access.urgency, now))
	scope.Counter("probes").Inc(int64(len(sample)))
	scope.Counter("probes_unanswered").Inc(int64(len(sample) - len(probed)))
	return view.Choose(probed, request, func(r runner.Runner) int {
		return x.allowedWhileCold(r, loads[r.Address()], x.gate.Allowed(x.access.urgency, r.Slots(), roundingOffset(r), now), now)
	})
}

// roundingOffset returns the offset, from 0 to 1, by which a runner rounds the allowed requests differently from others.
func roundingOffset(r runner.Runner) float64 {
	return float64(runner.Key(r.ID())%offsetSteps) / offsetSteps
}

// IsProbed reports whether the load of a service's runners is probed before each request, so that heartbeats need not carry
// it.
func (f *Forwarder) IsProbed(state overseer.State, service string, entries int) bool {
	table, _ := state.Table()
	s, _ := table.Service(service)
	return f.prober != nil && placer.IsProbed(entries, s.Engine())
}
