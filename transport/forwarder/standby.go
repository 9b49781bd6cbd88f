package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/dispatcher"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

const (
	// minSilence is how long a runner may give nothing at least before another one is asked, too: turns of a busy VM, a lost packet.
	minSilence = 200 * time.Millisecond
	// firstSilence is the same while it is not known how long runners take (RFC 6298).
	firstSilence = time.Second
	// pauseInterval is the shortest time between two checks whether an answer pauses.
	pauseInterval = 100 * time.Millisecond
	// acceptTime is how long after it began an attempt counts as accepted by its runner: refusals come within milliseconds.
	acceptTime = 200 * time.Millisecond
	// handoverTime is how long before its caller leaves a request is handed to another rank while the group stands still: until that one
	// has accepted it and the next check of the answer has left the first.
	handoverTime = acceptTime + 3*pauseInterval
)

// errEnded is that the request ended, or that the entry withdrew the attempt.
var errEnded = errors.New("the request ended or was withdrawn before the runner's answer was complete")

// await returns the event of the next frame of the answer, or of the failure of all attempts under way. If the answer pauses,
// another attempt begins beside the current one; whichever gives more than a comment first goes on alone.
func (x *exchange) await(ctx context.Context) dispatcher.Event {
	if event := x.call.due(); event != nil {
		return event
	}
	timer := time.NewTimer(x.nextPauseCheck())
	defer timer.Stop()
	for {
		// Without a standby the two channels stay nil, and block.
		var arrivals <-chan arrival
		var ended <-chan struct{}
		if x.standby != nil {
			arrivals, ended = x.standby.arrivals, x.standby.ctx.Done()
		}
		var event dispatcher.Event
		select {
		case got := <-x.call.arrivals:
			event = x.ofCurrent(x.call.handle(ctx, got))
		case <-x.call.ctx.Done():
			event = x.ofCurrent(x.call.handleFailure(ctx, errEnded, true))
		case got := <-arrivals:
			event = x.ofStandby(x.standby.handle(ctx, got))
		case <-ended:
			event = x.ofStandby(x.standby.handleFailure(ctx, errEnded, true))
		case <-timer.C:
			x.checkPause(ctx)
			x.checkAccepted()
			timer.Reset(x.nextPauseCheck())
		}
		if event != nil {
			return event
		}
	}
}

// ofCurrent returns an event of the current attempt, and ends the standby if there is one, but not for a comment, which runners that stall
// give, too. If the current attempt failed, the standby takes its place instead, and there is no event.
func (x *exchange) ofCurrent(event dispatcher.Event) dispatcher.Event {
	switch {
	case event == nil || x.standby == nil:
	case isFailure(event):
		x.promote("current-failed")
		return nil
	case x.call.gaveComment:
	default:
		x.countStandby("closed")
		x.standby.close()
		x.standby = nil
	}
	return event
}

// ofStandby has the standby take the place of the current attempt and returns its event, unless it failed.
func (x *exchange) ofStandby(event dispatcher.Event) dispatcher.Event {
	switch {
	case event == nil:
	case isWithheld(event):
		x.dispatch, _ = x.dispatch.WithEvent(x.standby.runner.ID(), dispatcher.StandbyWithheld{})
		x.countStandby("withheld")
		x.standby.close()
		x.standby = nil
		return nil
	case isFailure(event):
		x.dispatch, _ = x.dispatch.WithEvent(x.standby.runner.ID(), dispatcher.StandbyFailed{})
		x.countStandby("failed")
		x.standby.close()
		x.standby = nil
		return nil
	default:
		x.promote("answered")
	}
	return event
}

// promote has the standby take the place of the current attempt.
func (x *exchange) promote(outcome string) {
	x.countStandby(outcome)
	x.call.close()
	x.call, x.runner, x.standby = x.standby, x.standby.runner, nil
}

// isWithheld reports whether an event says that an attempt was not sent as its runner must not get requests any more.
func isWithheld(event dispatcher.Event) bool {
	_, is := event.(dispatcher.SendWithheld)
	return is
}

// isFailure reports whether an event says that an attempt failed or did not run.
func isFailure(event dispatcher.Event) bool {
	switch e := event.(type) {
	case dispatcher.ConnectionFailed, dispatcher.SendWithheld:
		return true
	case dispatcher.FrameReceived:
		return e.Frame.IsLast() && e.Frame.Outcome() != attempt.OutcomeRan
	}
	return false
}

// silence returns how long a runner may give nothing before another one is asked, too: longer than nearly all take to begin an answer.
// A request that a runner preempts is read again, which takes as long.
func (x *exchange) silence() time.Duration {
	begin := x.forwarder.estimates.Work(x.kind).Begin
	if !begin.IsKnown() {
		return firstSilence + x.promptTime
	}
	return max(minSilence, begin.Most()) + x.promptTime
}

// lastSign returns when the runner last gave something of the answer, or got the request.
func (c *call) lastSign() time.Duration { return max(c.sentAt, c.headAt, c.lastEventAt) }

// nextPauseCheck returns in which time the answer, or an attempt beside it, is to be looked at again.
func (x *exchange) nextPauseCheck() time.Duration {
	now, handover := x.forwarder.clock.Now(), x.leaveAt()-handoverTime
	if x.standby != nil || now >= handover {
		return pauseInterval
	}
	return max(pauseInterval, min(x.call.lastSign()+x.silence(), handover)-now)
}

// isHandoverDue reports whether the request has to go to another rank for its sake alone: the group stands still, and the caller is
// about to leave. The rank that admitted it cannot drop it then, and would work for nobody when the group goes on; one that gets it
// now has not admitted it, and can.
func (x *exchange) isHandoverDue(now time.Duration) bool {
	_, isGroup := x.forwarder.outage(x.service)
	return isGroup && x.access.route.IsStream() && x.call.lastEventAt == 0 && now >= x.leaveAt()-handoverTime && !x.gate.IsAdvancing(now)
}

// isPaused reports whether the runner gives nothing of the answer although it, or others of its service, give events of
// other requests. Comments, and bytes that do not yet make up an event, are no sign that an answer advances.
func (c *call) isPaused(now time.Duration) bool {
	x := c.exchange
	silence := x.silence()
	if now-c.lastSign() < silence {
		return false
	}
	if c.headAt > 0 && x.gate.IsAdvancing(now) {
		return true
	}
	if c.lastEventAt > 0 {
		return false
	}
	// A runner that gave an event of another request lately works, and has only not come to this one. Ranks of a group that
	// is down say themselves that they did not run the request.
	return !x.isDown() && x.forwarder.tracker.LastAnswer(c.runner.ID()) <= now-silence/2
}

// checkPause begins another attempt beside the current one if the answer pauses, another attempt is allowed and possible now, and
// another runner could still answer in the caller's time. The current one goes on in any case, as silence does not tell a runner
// that is lost from one that still works.
func (x *exchange) checkPause(ctx context.Context) {
	f, now := x.forwarder, x.forwarder.clock.Now()
	if x.standby != nil || ctx.Err() != nil || x.isDown() || !x.position.IsResumable() {
		return
	}
	usual := x.forwarder.estimates.Work(x.kind).Begin.Mean() + x.promptTime
	if isUseful := now+usual <= x.leaveAt() && x.call.isPaused(now); !isUseful && !x.isHandoverDue(now) {
		return
	}
	before := x.dispatch
	next, action := before.WithEvent(x.runner.ID(), dispatcher.AnswerPaused{})
	if action.Do != dispatcher.DoStandby {
		return
	}
	x.dispatch = next
	chosen, room := x.place(ctx, now)
	state, now := f.snapshot(), f.clock.Now()
	remaining := x.left()
	isAllowed := room == roomFound && remaining > 0 && x.endTrial == nil && len(state.Held(x.parts)) == 0 &&
		x.denial(state, now) == nil && x.isAllowed(next.Number(), action.Reason)
	if !isAllowed {
		x.dispatch = before
		return
	}
	f.tracker.RecordFailure(x.runner.ID(), now)
	f.log.Info("answer pauses; trying another runner beside the one that pauses", "request", x.request.ID,
		"attempt", next.Number(), "paused_runner", x.runner.ID(), "runner", chosen.ID(), "event", x.position.String())
	x.countStandby("begun")
	x.standby = newCall(ctx, x, chosen, remaining)
	x.standby.start()
}

// checkAccepted has an accepted standby take the place of an attempt that has begun nothing, if the two runners are ranks of a group.
// These advance together, so that the first has no lead over the second; and a rank whose group is held or stalled cannot drop a
// request that it has admitted, as it would have to when the caller leaves.
func (x *exchange) checkAccepted() {
	if x.standby == nil || !x.access.route.IsStream() || x.call.lastEventAt > 0 {
		return
	}
	if _, isGroup := x.forwarder.outage(x.service); isGroup && x.forwarder.clock.Now()-x.standby.sentAt >= acceptTime {
		x.promote("accepted")
	}
}

// countStandby counts what became of attempts beside others.
func (x *exchange) countStandby(outcome string) {
	x.forwarder.scope.Tagged(map[string]string{"service": x.service, "outcome": outcome}).Counter("standbys").Inc(1)
}
