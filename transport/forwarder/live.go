package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/dispatcher"
	"github.com/kingcupstile/kingcupstile/protocol/eventer"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/demand"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/transport/conduit"
)

const (
	// maxAnswer is the most bytes of an answer that is not a stream: operators bound requests to a few megabytes.
	maxAnswer = 16 << 20
	// patience is how many times a route's goal a repeatable request waits for its first byte before it goes elsewhere.
	patience = 2
	// stall is how long a stream may give nothing before it is looked at: well before callers lose patience at 2 s.
	stall = 700 * time.Millisecond
	// crashTime is how soon after its last sign a runner that crashes ends a connection; ranks that wait for another one
	// that crashed end theirs after a second and a half.
	crashTime = time.Second
)

// Reasons of attempts that did not run.
const (
	reasonRefused = "refused"
	reasonMoved   = "moved"
)

// live is one attempt at one runner.
type live struct {
	exchange *exchange
	runner   runner.Runner
	left     time.Duration
	ctx      context.Context //nolint:containedctx // it bounds the one attempt that this value stands for
	cancel   context.CancelFunc
	carried  *conduit.Exchange
	events   chan read
	read     func()
	done     func()
	// head is the answer's head until its first event is there.
	head    *attempt.Frame
	pending *attempt.Frame
	closing bool
	// sent is when the request went out, and before when the last event came, 0 for none.
	sent, before time.Duration
}

// read is an event of a stream, or why there is none.
type read struct {
	event eventer.Event
	err   error
}

func newLive(x *exchange, r runner.Runner, left time.Duration) *live {
	l := &live{exchange: x, runner: r, left: left, sent: x.forwarder.clock.Now()}
	l.read, l.done = x.forwarder.board.Begin(r.ID(), x.demand.Prompt)
	return l
}

// end closes the attempt's connection.
func (l *live) end() {
	l.done()
	if l.carried != nil {
		l.carried.Close()
	}
	if l.cancel != nil {
		l.cancel()
	}
}

// open sends the request and returns what came of it.
func (l *live) open(ctx context.Context) dispatcher.Event {
	x := l.exchange
	target := demand.Target{
		Runner: l.runner.ID(), Account: x.access.account.Name(), Left: l.left, Priority: x.access.priority, LastEvent: x.demand.LastEvent,
	}
	if x.last > 0 {
		target.LastEvent = strconv.FormatInt(x.last, 10)
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	if wait := patience * x.access.route.Goal(); x.access.route.IsRepeatable() && wait > 0 {
		defer l.giveUp(wait)()
	}
	carried, err := conduit.Send(l.ctx, l.runner.Address(), conduit.Request{
		Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host,
		Header: x.forwarder.dialect.Outgoing(x.request.Header, target), Body: x.body,
	})
	if err != nil {
		return l.failed(ctx, err, fault.KindOf[conduit.Kind](err) != conduit.KindUnsent)
	}
	l.carried = carried
	return l.answered(ctx)
}

// giveUp ends the attempt when no answer has begun for a time, unless the runner answers others meanwhile and so has only
// not come to this one. The function that it returns ends that.
func (l *live) giveUp(wait time.Duration) (stop func()) {
	f, sent := l.exchange.forwarder, l.exchange.forwarder.clock.Now()
	begun := make(chan struct{})
	go func() {
		ticker := time.NewTicker(wait)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-begun:
				return
			}
			if f.board.LastAnswer(l.runner.ID()) <= sent+wait/2 {
				l.cancel()
				return
			}
		}
	}()
	return func() { close(begun) }
}

// answered judges the head of the answer.
func (l *live) answered(ctx context.Context) dispatcher.Event {
	x := l.exchange
	answer := l.carried.Answer() //nolint:bodyclose // closing the exchange closes the body
	reply := x.forwarder.dialect.Reply(answer.StatusCode, answer.Header)
	success := answer.StatusCode >= http.StatusOK && answer.StatusCode < http.StatusMultipleChoices
	switch {
	case reply.ID != "" && reply.ID != x.demand.ID:
		return l.failed(ctx, errors.New("answer to request "+reply.ID), true)
	case reply.NotRun:
		return l.refused(reply)
	case success && !reply.Sealed:
		return l.failed(ctx, errors.New("success without the runner's seal"), true)
	case success && answer.Header.Get("Content-Encoding") != "":
		return l.failed(ctx, errors.New("encoded answer"), true)
	case answer.StatusCode >= http.StatusInternalServerError && x.mayRepeat():
		return l.failed(ctx, errors.New("status "+strconv.Itoa(answer.StatusCode)), true)
	case success && x.access.route.IsStream() && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream"):
		return l.stream(ctx)
	case x.dispatch.NextOffset() > 0:
		return l.failed(ctx, errors.New("no stream to go on with, status "+strconv.Itoa(answer.StatusCode)), true)
	}
	return l.whole(ctx)
}

// mayRepeat reports whether the request may be sent to another runner although it ran.
func (x *exchange) mayRepeat() bool {
	return x.access.route.IsRepeatable() && x.dispatch.Number() < x.access.route.Attempts()
}

// refused handles an answer that says that the request did not run and never will.
func (l *live) refused(reply demand.Reply) dispatcher.Event {
	x := l.exchange
	culprit, reason := l.runner.ID(), reasonRefused
	if reply.Culprit != "" {
		culprit = reply.Culprit
	}
	if reply.Moved {
		reason = reasonMoved
	}
	x.forwarder.board.RecordFailure(culprit, x.forwarder.clock.Now())
	x.reason = reason + " by " + l.runner.ID() + " for " + culprit
	return dispatcher.FrameReceived{Frame: attempt.NewFrame(0, attempt.Last(attempt.OutcomeNotRun, reason))}
}

// whole reads an answer that is not a stream.
func (l *live) whole(ctx context.Context) dispatcher.Event {
	body, err := l.carried.Whole(maxAnswer)
	if err != nil {
		return l.failed(ctx, err, true)
	}
	answer := l.carried.Answer() //nolint:bodyclose // closing the exchange closes the body
	header := l.exchange.forwarder.dialect.Answer(answer.Header)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	l.closing = true
	next := l.exchange.dispatch.NextOffset()
	return dispatcher.FrameReceived{Frame: attempt.NewFrame(next, attempt.Status(answer.StatusCode, header), attempt.Data(body))}
}

// stream begins to read events; the head is held back until the first one is there.
func (l *live) stream(ctx context.Context) dispatcher.Event {
	answer := l.carried.Answer() //nolint:bodyclose // closing the exchange closes the body
	if l.exchange.dispatch.NextOffset() == 0 {
		header := l.exchange.forwarder.dialect.Answer(answer.Header)
		header.Del("Content-Length")
		head := attempt.NewFrame(0, attempt.Status(answer.StatusCode, header))
		l.head = &head
	}
	l.events = make(chan read, 1)
	go func(source *eventer.Reader, events chan<- read, over <-chan struct{}) {
		for {
			e, err := source.Next()
			select {
			case events <- read{event: e, err: err}:
			case <-over:
				return
			}
			if err != nil {
				return
			}
		}
	}(eventer.New(answer.Body), l.events, l.ctx.Done())
	return l.next(ctx)
}

// next returns the next frame of the answer.
func (l *live) next(ctx context.Context) dispatcher.Event {
	next := l.exchange.dispatch.NextOffset()
	if l.closing {
		return dispatcher.FrameReceived{Frame: attempt.NewFrame(next, attempt.Last(attempt.OutcomeRan, ""))}
	}
	if l.pending != nil {
		f := l.pending.WithOffset(next)
		l.pending = nil
		return dispatcher.FrameReceived{Frame: f}
	}
	for {
		got, ok := l.wait(ctx)
		if !ok {
			return l.failed(ctx, errors.New("stream silent"), true)
		}
		switch kind := fault.KindOf[eventer.Kind](got.err); {
		case kind == eventer.KindEnd:
			l.closing = true
			return l.flush(next, attempt.NewFrame(next, attempt.Last(attempt.OutcomeRan, "")))
		case got.err != nil:
			return l.failed(ctx, got.err, true)
		}
		l.paused()
		skip, err := l.exchange.order(got.event.ID)
		if err != nil {
			return l.failed(ctx, err, true)
		}
		if !skip {
			return l.flush(next, attempt.NewFrame(next, attempt.Data(got.event.Data)))
		}
	}
}

// flush returns the held back head, with the frame to follow it, or the frame itself.
func (l *live) flush(next uint64, f attempt.Frame) dispatcher.Event {
	if l.head == nil {
		return dispatcher.FrameReceived{Frame: f}
	}
	head := l.head.WithOffset(next)
	l.head, l.pending = nil, &f
	l.closing = false
	return dispatcher.FrameReceived{Frame: head}
}

// order takes in an event's number and reports whether the caller has that event already.
func (x *exchange) order(id int64) (skip bool, err error) {
	switch {
	case id == 0:
		return false, nil
	case x.last > 0 && id <= x.last:
		return true, nil
	case x.last > 0 && id != x.last+1:
		return false, errors.New("event " + strconv.FormatInt(id, 10) + " after " + strconv.FormatInt(x.last, 10))
	}
	x.last = id
	return false, nil
}

// paused takes in the pause before an event.
func (l *live) paused() {
	now := l.exchange.forwarder.clock.Now()
	l.exchange.forwarder.board.RecordAnswer(l.runner.ID(), now)
	if l.before == 0 {
		l.read()
	} else {
		l.exchange.gate.RecordGap(now-l.before, now)
	}
	l.before = now
}

// wait waits for the next event; a stream that is silent while others of the service advance is given up.
func (l *live) wait(ctx context.Context) (read, bool) {
	timer := time.NewTimer(stall)
	defer timer.Stop()
	for {
		select {
		case got := <-l.events:
			return got, true
		case <-ctx.Done():
			return read{}, false
		case <-timer.C:
			if l.exchange.access.route.IsResumable() && l.exchange.gate.IsAdvancing(l.exchange.forwarder.clock.Now()) {
				return read{}, false
			}
			timer.Reset(stall / 2)
		}
	}
}

// failed returns the event of an attempt without a whole answer.
func (l *live) failed(ctx context.Context, err error, sent bool) dispatcher.Event {
	x := l.exchange
	x.reason = err.Error()
	if ctx.Err() != nil {
		return dispatcher.DeadlineExceeded{Sent: sent}
	}
	now := x.forwarder.clock.Now()
	x.forwarder.board.RecordFailure(l.runner.ID(), now)
	if sent && conduit.IsEnded(err) && now-max(l.sent, l.before) < crashTime {
		x.forwarder.crashed(x.fingerprint(), l.runner.ID())
	}
	x.forwarder.log.Info("attempt failed", "request", x.demand.ID, "runner", l.runner.ID(), "service", x.service, "sent", sent, "error", err)
	return dispatcher.ConnectionFailed{Sent: sent}
}
