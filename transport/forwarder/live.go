package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/breaker"
	"github.com/kingcupstile/kingcupstile/coordination/dispatcher"
	"github.com/kingcupstile/kingcupstile/coordination/overseer"
	"github.com/kingcupstile/kingcupstile/coordination/sequencer"
	"github.com/kingcupstile/kingcupstile/protocol/eventer"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/demand"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/runner"
	"github.com/kingcupstile/kingcupstile/transport/conduit"
)

const (
	// maxAnswerSize is the largest body in bytes of an answer that is not a stream; operators limit requests to a few
	// megabytes.
	maxAnswerSize = 16 << 20
)

// Reasons why a runner did not run an attempt.
const (
	reasonRefused = "refused"
	reasonMoved   = "moved"
)

// call is one attempt to run a request at one runner.
type call struct {
	exchange *exchange
	runner   runner.Runner
	// timeout is how long the runner may work.
	timeout time.Duration
	ctx     context.Context //nolint:containedctx // it bounds the one attempt that this value stands for
	cancel  context.CancelFunc
	// withdrawn is set when this entry itself ends the attempt, which is no failure of the runner.
	withdrawn  atomic.Bool
	connection *conduit.Exchange
	// arrivals receives what the runner gives, one after the other.
	arrivals chan arrival
	// promptRead and done tell the tracker that the runner has read the prompt, and that the attempt is over.
	promptRead func()
	done       func()
	// head is the head of a streamed answer, held back until its first event or its end was received.
	head *attempt.Frame
	// pending is the frame that follows a head that was just returned.
	pending *attempt.Frame
	// lastFrameDue is whether the next frame is the one that ends the answer.
	lastFrameDue bool
	// gaveComment is whether the last thing that the runner gave was a comment.
	gaveComment bool
	// isWhole is whether the answer is to be given from its beginning.
	isWhole bool
	// sentAt is when the attempt began, headAt when the head of a streamed answer was received, and lastEventAt when the last
	// event with a field was, each 0 if that has not happened.
	sentAt, headAt, lastEventAt time.Duration
}

// arrivalKind is the kind of what a runner gave.
type arrivalKind string

const (
	// arrivalHead is the head of an answer, with its connection.
	arrivalHead arrivalKind = "head"
	// arrivalBody is the body of an answer that is not a stream.
	arrivalBody arrivalKind = "body"
	// arrivalEvent is an event of a stream.
	arrivalEvent arrivalKind = "event"
)

// arrival is the next part of an answer, or the error in its place.
type arrival struct {
	kind       arrivalKind
	connection *conduit.Exchange
	body       []byte
	event      eventer.Event
	err        error
}

func newCall(ctx context.Context, x *exchange, r runner.Runner, timeout time.Duration) *call {
	c := &call{exchange: x, runner: r, timeout: timeout, arrivals: make(chan arrival, 1), sentAt: x.forwarder.clock.Now()}
	c.isWhole = !x.position.HasBegun() && x.request.LastEvent == ""
	c.ctx, c.cancel = context.WithCancel(ctx)
	x.countSpill(r)
	c.promptRead, c.done = x.forwarder.tracker.Begin(r.ID(), x.request.PromptTokens)
	if len(x.parts) > 0 {
		x.forwarder.unanswered.Store(c, struct{}{})
	}
	return c
}

// close closes the attempt's connection and counts the attempt as over.
func (c *call) close() {
	c.exchange.forwarder.unanswered.Delete(c)
	c.done()
	if c.connection != nil {
		c.connection.Close()
	}
	c.cancel()
}

// withdraw ends the attempt; it may be called by any goroutine.
func (c *call) withdraw() {
	c.withdrawn.Store(true)
	c.cancel()
}

// start sends the request in the background; the head of the answer is the first arrival.
func (c *call) start() {
	x := c.exchange
	target := demand.Target{
		Runner: c.runner.ID(), Account: x.access.account.Name(), Timeout: c.timeout, Priority: x.access.priority,
		LastEvent: x.request.LastEvent,
	}
	if _, hasNumber := x.position.Number(); hasNumber {
		target.LastEvent = x.position.String()
	}
	request := conduit.Request{
		Method: x.httpRequest.Method, Target: x.httpRequest.RequestURI, Host: x.httpRequest.Host,
		Header: x.forwarder.dialect.RequestHeader(x.httpRequest.Header, target), Body: x.body,
		MaySend: func() bool { return x.forwarder.maySend(c.runner) },
	}
	go func() {
		connection, err := conduit.Send(c.ctx, c.runner.Address(), request)
		c.deliver(arrival{kind: arrivalHead, connection: connection, err: err})
	}()
}

// deliver hands over an arrival and reports whether the attempt is still under way; when it ends, its connection is closed.
func (c *call) deliver(a arrival) bool {
	select {
	case c.arrivals <- a:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// handle returns the event of an arrival, nil if there is none before the next one.
func (c *call) handle(ctx context.Context, a arrival) dispatcher.Event {
	switch a.kind {
	case arrivalHead:
		if fault.KindOf[conduit.Kind](a.err) == conduit.KindWithheld {
			return c.handleWithheld()
		}
		if a.err != nil {
			return c.handleFailure(ctx, a.err, fault.KindOf[conduit.Kind](a.err) != conduit.KindUnsent)
		}
		c.connection = a.connection
		return c.handleHead(ctx)
	case arrivalBody:
		return c.handleBody(ctx, a.body, a.err)
	case arrivalEvent:
		return c.handleEvent(ctx, a.event, a.err)
	}
	return nil
}

// handleHead decides by the head of the answer whether the attempt failed, and else begins to read the answer.
func (c *call) handleHead(ctx context.Context) dispatcher.Event {
	x := c.exchange
	answer := c.connection.Answer() //nolint:bodyclose // closing the exchange closes the body
	reply := x.forwarder.dialect.ParseReply(answer.StatusCode, answer.Header)
	x.forwarder.recordReply(c.runner, reply, c.sentAt)
	success := isSuccess(answer.StatusCode)
	switch {
	case reply.ID != "" && reply.ID != x.request.ID:
		return c.handleFailure(ctx, errors.New("answer carries the identifier of another request: "+reply.ID), true)
	case reply.NotRun:
		return c.handleRefusal(reply)
	case success && !reply.Sealed:
		return c.handleFailure(ctx, errors.New("success status without the runner's seal header, so the answer may not be the runner's"), true)
	case success && answer.Header.Get("Content-Encoding") != "":
		return c.handleFailure(ctx, errors.New("success status with a Content-Encoding header, which is not supported"), true)
	case answer.StatusCode >= http.StatusInternalServerError && x.canRetry():
		return c.handleFailure(ctx, errors.New("runner answered with a server error, status "+strconv.Itoa(answer.StatusCode)), true)
	case success && x.access.route.IsStream() && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream"):
		c.readEvents()
		return nil
	case x.dispatch.NextOffset() > 0:
		return c.handleFailure(ctx,
			errors.New("cannot resume the stream: answer is not an event stream, status "+strconv.Itoa(answer.StatusCode)), true)
	}
	go func() {
		body, err := c.connection.ReadAll(maxAnswerSize, x.reservation)
		c.deliver(arrival{kind: arrivalBody, body: body, err: err})
	}()
	return nil
}

// recordReply records what the head of an answer, to whatever request, says of the runner that sent it.
func (f *Forwarder) recordReply(r runner.Runner, reply demand.Reply, sentAt time.Duration) {
	now := f.clock.Now()
	// A misdirected request shows that another start of a runner has the address.
	f.recordSeen(r, !reply.Misdirected, sentAt)
	if reply.Leaving {
		f.report(overseer.RunnerLeaves{Runner: r.ID(), At: now})
	}
	if reply.HasInvalidRetryAfter {
		f.scope.Counter("invalid_retry_after").Inc(1)
		f.log.Warn("runner gave a Retry-After that cannot be read; taking the default", "runner", r.ID(), "default", reply.RetryAfter)
	}
	if reply.HasCold && !reply.Misdirected && f.cold.overage > 0 {
		f.cold.warmer.RecordStatement(r.ID(), reply.Cold, now)
	}
	if reply.Refused {
		f.tracker.RecordRest(r.ID(), reply.RetryAfter, now)
	}
}

// recordSeen records whether a runner is alive, if it broke off an answer lately.
func (f *Forwarder) recordSeen(r runner.Runner, alive bool, sentAt time.Duration) {
	if f.snapshot().HasCut(r) {
		f.report(overseer.RunnerSeen{Runner: r.ID(), StartedAt: r.StartedAt(), Alive: alive, SentAt: sentAt})
	}
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// canRetry reports whether another attempt is under way or allowed although a runner may have run the request.
func (x *exchange) canRetry() bool {
	return x.access.route.IsRepeatable() && (x.standby != nil || x.dispatch.Number() < x.access.route.Attempts())
}

// handleRefusal handles an answer that says that the runner did not run the request and never will. The failure is
// counted against the runner that the answer names as its cause, if it names one.
func (c *call) handleRefusal(reply demand.Reply) dispatcher.Event {
	x := c.exchange
	failedRunner, reason := c.runner.ID(), reasonRefused
	if at, found := x.forwarder.snapshot().Runners().AtAddress(reply.FailedRunner); found {
		failedRunner = at.ID()
	} else if reply.FailedRunner != "" {
		failedRunner = reply.FailedRunner
	}
	if reply.Misdirected {
		reason = reasonMoved
	}
	now := x.forwarder.clock.Now()
	if !x.isDown() {
		// While the group is down, its ranks refuse everything, which says nothing of any of them.
		x.forwarder.tracker.RecordFailure(failedRunner, now)
		if !x.gate.IsAdvancing(now) {
			x.forwarder.recordOutage(x.service, now)
		}
	}
	x.lastFailure = reason + ": not run by runner " + c.runner.ID() + "; failure counted against runner " + failedRunner
	return dispatcher.FrameReceived{Frame: attempt.NewFrame(0, attempt.Last(attempt.OutcomeNotRun, reason))}
}

// handleBody returns an answer that is not a stream as one frame.
func (c *call) handleBody(ctx context.Context, body []byte, err error) dispatcher.Event {
	if err != nil {
		return c.handleFailure(ctx, err, true)
	}
	if c.exchange.dispatch.NextOffset() > 0 {
		return c.handleFailure(ctx, errors.New("cannot resume the stream: answer is not an event stream, and another has begun"), true)
	}
	answer := c.connection.Answer() //nolint:bodyclose // closing the exchange closes the body
	header := c.exchange.forwarder.dialect.ResponseHeader(answer.Header)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if isSuccess(answer.StatusCode) {
		now := c.exchange.forwarder.clock.Now()
		c.recordBegin(now)
		c.recordWhole(now)
		c.exchange.recordAnswered()
	}
	c.lastFrameDue = true
	next := c.exchange.dispatch.NextOffset()
	return dispatcher.FrameReceived{Frame: attempt.NewFrame(next, attempt.Status(answer.StatusCode, header), attempt.Data(body))}
}

// readEvents begins to read the events of a stream. The head is held back until the first event or the end of the stream, so
// that until then the caller can still get an error status.
func (c *call) readEvents() {
	c.headAt = c.exchange.forwarder.clock.Now()
	answer := c.connection.Answer() //nolint:bodyclose // closing the exchange closes the body
	if c.exchange.dispatch.NextOffset() == 0 {
		header := c.exchange.forwarder.dialect.ResponseHeader(answer.Header)
		header.Del("Content-Length")
		head := attempt.NewFrame(0, attempt.Status(answer.StatusCode, header))
		c.head = &head
	}
	go func(source *eventer.Reader) {
		for {
			e, err := source.Next()
			if !c.deliver(arrival{kind: arrivalEvent, event: e, err: err}) || err != nil {
				return
			}
		}
	}(eventer.New(answer.Body, eventer.KeptIn(c.exchange.reservation)))
}

// due returns the event of a frame that follows an arrival which was handled before, nil if there is none.
func (c *call) due() dispatcher.Event {
	next := c.exchange.dispatch.NextOffset()
	switch {
	case c.lastFrameDue:
		return dispatcher.FrameReceived{Frame: attempt.NewFrame(next, attempt.Last(attempt.OutcomeRan, ""))}
	case c.pending != nil:
		f := c.pending.WithOffset(next)
		c.pending = nil
		return dispatcher.FrameReceived{Frame: f}
	}
	return nil
}

// handleEvent returns the event of the next frame of a stream, nil if there is none as the frame was forwarded before.
func (c *call) handleEvent(ctx context.Context, e eventer.Event, err error) dispatcher.Event {
	next := c.exchange.dispatch.NextOffset()
	c.gaveComment = err == nil && !e.HasFields
	switch {
	case c.gaveComment && c == c.exchange.standby:
		// The caller gets comments of the current attempt only.
		return nil
	case fault.KindOf[eventer.Kind](err) == eventer.KindEnd:
		c.recordWhole(c.exchange.forwarder.clock.Now())
		c.lastFrameDue = true
		return c.releaseHead(next, attempt.NewFrame(next, attempt.Last(attempt.OutcomeRan, "")))
	case err != nil:
		return c.handleFailure(ctx, err, true)
	}
	if e.HasFields && c.lastEventAt == 0 {
		c.exchange.position = c.exchange.position.WithRun()
	}
	if e.HasFields {
		c.recordGap()
	}
	skip, err := c.exchange.trackEvent(e)
	switch {
	case err != nil:
		return c.handleFailure(ctx, err, true)
	case skip:
		return nil
	}
	return c.releaseHead(next, attempt.NewFrame(next, attempt.Data(e.Data)))
}

// releaseHead returns the head if it is held back, and keeps the frame for the next call of next; else it returns the
// frame.
func (c *call) releaseHead(next uint64, f attempt.Frame) dispatcher.Event {
	if c.head == nil || next > 0 {
		// With a comment, the caller may have got the head of another attempt meanwhile.
		c.head = nil
		return dispatcher.FrameReceived{Frame: f}
	}
	head := c.head.WithOffset(next)
	c.head, c.pending = nil, &f
	c.lastFrameDue = false
	return dispatcher.FrameReceived{Frame: head}
}

// trackEvent records the number of an event, if it has one. It reports whether the event was forwarded already, and returns an error if
// events are missing before it.
func (x *exchange) trackEvent(e eventer.Event) (skip bool, err error) {
	if !e.HasID {
		if e.HasFields {
			x.position = x.position.WithUnnumbered()
		}
		return false, nil
	}
	next, verdict := x.position.WithEvent(e.ID)
	if verdict == sequencer.VerdictGap {
		return false, errors.New("gap in event numbers: got " + strconv.FormatInt(e.ID, 10) + " after " + x.position.String())
	}
	x.position = next
	return verdict == sequencer.VerdictSkip, nil
}

// recordGap records that an event was received, and how long after the one before; the first event shows that the
// prompt was read.
func (c *call) recordGap() {
	now := c.exchange.forwarder.clock.Now()
	c.exchange.forwarder.tracker.RecordAnswer(c.runner.ID(), now)
	if c.lastEventAt == 0 {
		c.promptRead()
		c.recordBegin(now)
		c.exchange.forwarder.unanswered.Delete(c)
		c.exchange.recordAnswered()
	} else {
		c.exchange.gate.RecordGap(now-c.lastEventAt, now)
	}
	c.lastEventAt, c.exchange.lastEventAt = now, now
	if s, found := c.exchange.forwarder.outage(c.exchange.service); found {
		s.Update(func(b breaker.Breaker) breaker.Breaker { return b.WithEvent(now) })
	}
}

// handleFailure records why an attempt gave no whole answer and returns its event: the deadline if the request is over,
// else a failed connection, which counts against the runner. sent is whether a part of the request was written.
func (c *call) handleFailure(ctx context.Context, err error, sent bool) dispatcher.Event {
	x := c.exchange
	x.lastFailure = err.Error()
	if ctx.Err() != nil {
		return dispatcher.DeadlineExceeded{Sent: sent}
	}
	now := x.forwarder.clock.Now()
	if !c.withdrawn.Load() {
		x.forwarder.tracker.RecordFailure(c.runner.ID(), now)
	}
	switch {
	case conduit.IsRefused(err):
		x.forwarder.recordSeen(c.runner, false, c.sentAt)
		x.forwarder.recordOutage(x.service, now)
	case sent && conduit.IsClosedByPeer(err) && c.lastEventAt == 0:
		x.recordLoss(c.runner, now)
	case sent && conduit.IsClosedByPeer(err):
		x.forwarder.report(overseer.AnswerCut{
			Fingerprint: x.fingerprint(), Runner: c.runner.ID(), StartedAt: c.runner.StartedAt(), At: now,
		})
	}
	x.forwarder.log.Info("attempt at runner failed; retrying if it is safe and the limits on attempts and retries allow it",
		"request", x.request.ID, "runner", c.runner.ID(), "service", x.service, "sent", sent, "answered", c.lastEventAt > 0,
		"closed_by_runner", conduit.IsClosedByPeer(err), "parts", x.loggedParts(), "error", err)
	return dispatcher.ConnectionFailed{Sent: sent, Unresumable: !x.position.IsResumable()}
}
