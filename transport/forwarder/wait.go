package forwarder

import (
	"context"
	"math/rand/v2"
	"time"
)

// minWork is how long a request and its answer take at least: the way to a runner and back, and to the caller.
const minWork = 10 * time.Millisecond

// minRetryAfter is the shortest retry delay that is told: nothing that a request was refused for passes sooner than a few passes and
// round trips.
const minRetryAfter = 200 * time.Millisecond

// promptTime returns how long a runner of a service takes at least to read a prompt.
func (f *Forwarder) promptTime(service string, tokens int) time.Duration {
	table, _ := f.snapshot().Table()
	s, _ := table.Service(service)
	if rate := s.Engine().PrefillRate; rate > 0 {
		return time.Duration(float64(tokens) / rate * float64(time.Second))
	}
	return 0
}

// recordBegin records how long the runner took to begin its answer, unless all streams stood still meanwhile: that says nothing of what
// runners take.
func (c *call) recordBegin(now time.Duration) {
	x := c.exchange
	if !x.gate.HasStalled(c.sentAt, now) {
		x.forwarder.estimates.RecordBegin(x.kind, now-c.sentAt-x.promptTime)
	}
}

// recordWhole records how long the runner took for the answer if it gave all of it and no stream stood still.
func (c *call) recordWhole(now time.Duration) {
	if x := c.exchange; c.isWhole && !x.gate.HasStalled(c.sentAt, now) {
		x.forwarder.estimates.RecordWhole(x.kind, now-c.sentAt)
	}
}

// latestStart returns when a runner must begin to work at the latest for the caller to get its answer: callers leave at the end of
// the request's time, and those of streams when they got no event for long. It leaves the time in which nearly all runners begin to
// answer.
func (x *exchange) latestStart() time.Duration {
	work := x.forwarder.estimates.Work(x.kind)
	begin := max(minWork, work.Begin.Most()+x.promptTime)
	whole := begin
	if !x.position.HasBegun() {
		whole = max(begin, work.Whole.Mean())
	}
	return min(x.arrivedAt+x.timeout-whole, x.leaveAt()-begin)
}

// leaveAt returns when the caller leaves unless it gets something of the answer before.
func (x *exchange) leaveAt() time.Duration {
	end := x.arrivedAt + x.timeout
	if patience := x.access.route.Patience(); patience > 0 {
		return min(end, max(x.arrivedAt, x.lastEventAt)+patience)
	}
	return end
}

// untilRefusing returns a context that ends with ctx, and when the process is about to end and refuses what it has not sent.
func (f *Forwarder) untilRefusing(ctx context.Context) (waiting context.Context, stop func()) {
	waiting, cancel := context.WithCancel(ctx)
	remove := context.AfterFunc(f.refusing, cancel)
	return waiting, func() {
		remove()
		cancel()
	}
}

// jittered returns a retry delay with up to half of it added at random, so that callers do not return all at once.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()/2*float64(d))
}

// left returns how much of its time the caller has left.
func (x *exchange) left() time.Duration { return x.timeout - (x.forwarder.clock.Now() - x.arrivedAt) }

// returnAfter returns the retry delay for a request that is expected to be served after some time, or when runners that are down are
// back if that is later: no later than the caller returns in any case, as it is an estimate. A caller that will not have the time for
// an answer then is told a time after its own, so that it can see that a return is in vain.
func (x *exchange) returnAfter(expected time.Duration) time.Duration {
	f, left := x.forwarder, x.left()
	after := min(jittered(max(minRetryAfter, expected, x.outageLeft())), f.dialect.LatestReturn(left))
	if after+f.estimates.Work(x.kind).Begin.Mean()+x.promptTime > left {
		return max(expected, left+minWork)
	}
	return after
}

// roomIn returns how soon the request is expected to find room.
func (x *exchange) roomIn() time.Duration {
	f, state := x.forwarder, x.forwarder.snapshot()
	now := f.clock.Now()
	if f.IsProbed(state, x.service, len(state.Heartbeats(now))+1) {
		return x.gate.Vacancy(x.access.urgency).Wait(now)
	}
	return x.gate.Pace().WaitFor(x.gate.Waiting(), f.estimates.Work(x.kind).Whole.Mean())
}
