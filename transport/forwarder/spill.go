package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/localizer"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/rank"
	"github.com/kingcupstile/kingcupstile/state/runner"
)

// spill is what is known of a request's way between data centres.
type spill struct {
	// draw is a random number from 0 to 1, by which a share of the requests may leave, 0 until it is first needed.
	draw float64
	// answered is how many bytes of the answer were received.
	answered int64
}

// plan returns where the next round of probes looks for room, the zero value where fixed weights decide; since is when the request began
// to look for it, and until when it does at most.
func (x *exchange) plan(runners []runner.Runner, since, until time.Duration) localizer.Plan {
	f := x.forwarder
	if f.transfer <= 0 {
		return localizer.Plan{}
	}
	if x.spill.draw == 0 {
		x.spill.draw = rand.Float64()
	}
	now := f.clock.Now()
	home := f.snapshot().Self().Centre
	links := x.links(home, runners)
	request := localizer.Request{
		Urgency: x.access.urgency, Bytes: len(x.body), Since: since, LatestStart: until, Time: x.timeout,
		Interval: x.probeInterval(), Wait: x.gate.Vacancy(x.access.urgency).Wait(now), Draw: x.spill.draw, Pick: rand.Float64(),
	}
	var changed []localizer.Share
	l := f.localizers.Update(x.service, func(l localizer.Localizer) localizer.Localizer {
		if !l.IsKnown() {
			l = localizer.New(home, f.transfer)
		}
		l, changed = l.WithLinks(links).WithRequest(request, now).WithReported()
		return l
	})
	for _, s := range changed {
		f.log.Info("share of requests that may go to another data centre changed", "service", x.service, "centre", s.Centre,
			"share", s.Share, "share_before", s.Reported)
	}
	for _, s := range l.Shares() {
		f.scope.Tagged(map[string]string{"service": x.service, "centre": s.Centre}).Gauge("spill_share").Update(s.Share)
	}
	return l.Plan(request, now)
}

// links returns the other data centres in which runners take new work.
func (x *exchange) links(home string, runners []runner.Runner) []localizer.Link {
	table, _ := x.forwarder.snapshot().Table()
	s, _ := table.Service(x.service)
	isListed := map[string]bool{home: true}
	var links []localizer.Link
	for _, r := range runners {
		if centre := r.Centre(); r.IsReady() && !isListed[centre] {
			isListed[centre] = true
			links = append(links, localizer.Link{Centre: centre, RoundTrip: s.RoundTrip(home, centre)})
		}
	}
	return links
}

// recordRoom records which of the probed runners have room for requests of each urgency, as far as they have answered.
func (x *exchange) recordRoom(sample []runner.Runner, loads map[string]rank.Load, now time.Duration) {
	f := x.forwarder
	if f.transfer <= 0 {
		return
	}
	f.localizers.Update(x.service, func(l localizer.Localizer) localizer.Localizer {
		for _, r := range sample {
			load, answered := loads[r.Address()]
			l = l.WithProbe(r.Centre(), func(urgency int) bool {
				return answered && load.Open < x.gate.Allowed(urgency, r.Slots(), roundingOffset(r), now)
			}, now)
		}
		return l
	})
}

// isSpilled reports whether a runner is in another data centre to which requests are sent by their gain.
func (x *exchange) isSpilled(r runner.Runner) bool {
	f := x.forwarder
	return f.transfer > 0 && r.Centre() != f.snapshot().Self().Centre
}

// countSpill counts an attempt that is sent to another data centre.
func (x *exchange) countSpill(r runner.Runner) {
	if x.isSpilled(r) {
		scope := x.forwarder.scope.Tagged(map[string]string{"service": x.service, "centre": r.Centre()})
		scope.Counter("spill_requests").Inc(1)
		scope.Counter("spill_bytes").Inc(int64(len(x.body)))
	}
}

// recordSpilled counts the bytes of a frame that came from another data centre, and records the size of answers.
func (x *exchange) recordSpilled(frame attempt.Frame) {
	f := x.forwarder
	if f.transfer <= 0 {
		return
	}
	n := int64(len(frame.Data()))
	if x.isSpilled(x.runner) {
		f.scope.Tagged(map[string]string{"service": x.service, "centre": x.runner.Centre()}).Counter("spill_bytes").Inc(n)
	}
	if x.spill.answered += n; frame.IsLast() {
		f.localizers.Update(x.service, func(l localizer.Localizer) localizer.Localizer { return l.WithAnswer(x.spill.answered) })
	}
}
