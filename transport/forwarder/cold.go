package forwarder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/pauser"
	"github.com/kingcupstile/kingcupstile/coordination/placer"
	"github.com/kingcupstile/kingcupstile/coordination/warmer"
	"github.com/kingcupstile/kingcupstile/state/rank"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

const (
	// roomCold is that each runner that could be chosen is cold and must get no more requests now.
	roomCold room = "cold"
	// coldWait is the time after which a request for which there are only such runners looks for one again.
	coldWait = 50 * time.Millisecond
	// maxColdProbes is how many cold runners are asked one after the other before a request is sent to another one; each may take
	// twice probeWait.
	maxColdProbes = 2
)

// coldRunners holds the settings for cold runners and what this entry knows of them.
type coldRunners struct {
	// overage and slack are those of warmer.NewPolicy; at an overage of 0, cold runners are treated like others.
	overage, slack float64
	warmer         *warmer.Warmer
}

// Cold limits the requests to cold runners: over all entries, one gets at most what it can bear in a second times the overage, plus the
// slack.
func Cold(overage, slack float64) Option {
	return func(f *Forwarder) { f.cold = coldRunners{overage: overage, slack: slack, warmer: warmer.New()} }
}

// coldPolicy returns what cold runners of a service may get, and false if they are treated like others.
func (f *Forwarder) coldPolicy(state overseer.State, service string) (warmer.Policy, bool) {
	if f.cold.overage <= 0 {
		return warmer.Policy{}, false
	}
	table, _ := state.Table()
	s, _ := table.Service(service)
	p := warmer.NewPolicy(s.Cold(), f.cold.overage, f.cold.slack)
	return p, p.IsOn()
}

// seen returns what is known of a runner: by its registration, its own answers, those of the process beside it, and the requests that this
// entry has sent. Each of them may be late, so that the largest counts.
func (f *Forwarder) seen(r runner.Runner, now time.Duration) warmer.Seen {
	book := f.cold.warmer.Book()
	s := warmer.Seen{Left: max(r.ColdLeft(now), book.Left(r.ID(), now)), Recent: book.Sent(r.ID(), now), Draw: rand.Float64()}
	if f.cold.warmer.RecordSeen(r.ID(), s.Left > 0, now) {
		f.scope.Tagged(map[string]string{"service": r.Service()}).Gauge("cold_runners").Update(float64(f.cold.warmer.Book().Cold()))
		f.log.Info("runner turns cold or warm; the load of a cold one is limited and returns in steps",
			"runner", r.ID(), "service", r.Service(), "cold", s.Left > 0, "left", s.Left)
	}
	return s
}

// seenWith returns what is known of a runner after the process beside it answered with the runner's load.
func (f *Forwarder) seenWith(r runner.Runner, l rank.Load, now time.Duration) warmer.Seen {
	f.cold.warmer.RecordReport(r.ID(), l.Cold, now)
	s := f.seen(r, now)
	s.Recent = max(s.Recent, l.Recent)
	return s
}

// allowedWhileCold returns how many requests a runner may have open for another one to be sent to it: as many as others are allowed, and
// fewer if it is cold.
func (x *exchange) allowedWhileCold(r runner.Runner, l rank.Load, allowed int, now time.Duration) int {
	f := x.forwarder
	policy, isOn := f.coldPolicy(f.snapshot(), x.service)
	if !isOn {
		return allowed
	}
	n := min(allowed, policy.Allowed(f.seenWith(r, l, now), r.Slots()))
	if n < allowed && l.Open >= n {
		f.countCold(x.service, "passed")
	}
	return n
}

// announce tells the process beside a runner with room that a request is about to be sent to it, and reports whether it may be sent: this
// entry alone must not send a cold runner more than that can bear.
func (x *exchange) announce(r runner.Runner) bool {
	f := x.forwarder
	if policy, isOn := f.coldPolicy(f.snapshot(), x.service); isOn {
		if now := f.clock.Now(); f.seen(r, now).Left > 0 {
			if !f.cold.warmer.Reserve(r.ID(), policy.Target(), now) {
				return false
			}
			f.countCold(x.service, "sent")
		}
	}
	f.prober.Announce(r.Address())
	return true
}

// placeUnasked chooses a runner whose load was not asked for, or was in vain. A cold one is asked in any case.
func (x *exchange) placeUnasked(
	ctx context.Context, view placer.View, runners []runner.Runner, request placer.Request,
) (runner.Runner, room) {
	f := x.forwarder
	policy, isOn := f.coldPolicy(f.snapshot(), x.service)
	if !isOn {
		return placed(view.Place(runners, request))
	}
	var passed []string
	for probes := 0; ; {
		now := f.clock.Now()
		chosen, found := view.Place(runners, request.WithAvoided(passed))
		switch {
		case !found && len(passed) > 0:
			return chosen, roomCold
		case !found || f.seen(chosen, now).Left == 0:
			return placed(chosen, found)
		case probes < maxColdProbes:
			probes++
			if x.admitCold(ctx, policy, view, chosen) {
				return chosen, roomFound
			}
		}
		f.countCold(x.service, "passed")
		passed = append(passed, chosen.ID())
	}
}

// admitCold reports whether a request may be sent to a cold runner, and announces it then: by the answer of the process beside the
// runner, and if there is none, by the share of this entry.
func (x *exchange) admitCold(ctx context.Context, policy warmer.Policy, view placer.View, r runner.Runner) bool {
	f := x.forwarder
	state := f.snapshot()
	table, _ := state.Table()
	s, _ := table.Service(x.service)
	isAsked := f.prober != nil && s.Engine().HasExperts()
	var limit int
	var seen warmer.Seen
	open := view.Open(r.ID())
	load, answered := rank.Load{}, false
	if isAsked {
		load, answered = f.prober.Probe(ctx, []string{r.Address()}, probeWait)[r.Address()]
	}
	now := f.clock.Now()
	if answered {
		limit, open, seen = policy.Target(), load.Open, f.seenWith(r, load, now)
	} else {
		limit, seen = policy.Share(r.ID(), state.Self().Name, entryNames(state), isAsked), f.seen(r, now)
	}
	if open >= policy.Allowed(seen, r.Slots()) || !f.cold.warmer.Reserve(r.ID(), limit, now) {
		return false
	}
	if isAsked {
		f.prober.Announce(r.Address())
	}
	f.countCold(x.service, "sent")
	return true
}

// awaitCold waits until a request for which there are only runners that must get no more is to look for one again, and reports whether
// there is time for that.
func (x *exchange) awaitCold(ctx context.Context, until time.Duration) bool {
	return x.forwarder.clock.Now()+coldWait < until && pauser.Wait(ctx, coldWait)
}

// entryNames returns the names of all registered entries, this one included, whether or not they are heard.
func entryNames(state overseer.State) []string {
	peers := state.Peers()
	names := append(make([]string, 0, len(peers)+1), state.Self().Name)
	for _, p := range peers {
		names = append(names, p.Name)
	}
	return names
}

// countCold counts requests that were sent to cold runners, or for which these were passed over.
func (f *Forwarder) countCold(service, outcome string) {
	f.scope.Tagged(map[string]string{"service": service, "outcome": outcome}).Counter("cold_requests").Inc(1)
}
