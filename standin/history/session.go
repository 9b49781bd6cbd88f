package history

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/binder"
	"github.com/kingcupstile/kingcupstile/coordination/dispatcher"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// requestTimeout is the time from sending a request to its deadline.
const requestTimeout = 40 * time.Second

// ticketTTL is how long a ticket stays valid.
const ticketTTL = 90 * time.Second

// session is an entry's state of one request, and what its caller was told. Requests that are sent again share the
// payload. A bound request has one endpoint; sent says whether the live attempt was written to a connection.
type session struct {
	sim          *simulation
	payload      string
	key          string
	request      string
	repeatable   bool
	bound        bool
	attempt      attempt.Attempt
	dispatch     dispatcher.Dispatch
	action       dispatcher.Do
	sent         bool
	settleNumber int
	done         bool
	outcome      attempt.Outcome
	ranBefore    bool
	complete     bool
	frames       []attempt.Frame
}

// sendFirst sends the payload of the caller with the given index, with a ticket as its key, with a key of the caller's
// own, as repeatable without a key, or with neither.
func (w *simulation) sendFirst(i int) {
	s := &session{payload: fmt.Sprintf("work-%d", i)}
	switch w.rng.IntN(4) {
	case 0:
		s.key = w.newTicket().Key()
	case 1:
		s.key = fmt.Sprintf("slip-%d", i)
	case 2:
		s.repeatable = true
	}
	w.startRequest(s)
}

// resend sends a request's payload again with the same key as a new request; without a key it does nothing.
func (w *simulation) resend(s *session) {
	if s.key != "" {
		w.startRequest(&session{payload: s.payload, key: s.key})
	}
}

func (w *simulation) startRequest(s *session) {
	s.sim, s.request, s.outcome = w, fmt.Sprintf("r%d", len(w.sessions)), ""
	s.ranBefore = slices.ContainsFunc(w.runs, func(r run) bool { return r.payload == s.payload })
	w.sessions = append(w.sessions, s)
	deadline := w.now.Add(requestTimeout)
	options := []attempt.Option{
		attempt.Account(account), attempt.Service("desk"), attempt.Key(s.key), attempt.Repeatable(s.repeatable),
		attempt.Deadline(deadline), attempt.Expiry(deadline), attempt.HTTP("POST", "/", nil, []byte(s.payload)),
	}
	if s.key != "" {
		ticket, err := w.bindKey(s.key)
		if err != nil {
			s.conclude(attempt.OutcomeUnknown)
			return
		}
		options = append(options, attempt.Expiry(ticket.Expiry()), attempt.To(ticket.Endpoint(), ticket.Incarnation()))
		s.bound = true
	}
	s.attempt = attempt.New(s.request, options...)
	s.dispatch = dispatcher.New(s.attempt)
	s.perform(dispatcher.Action{Do: dispatcher.DoSend})
}

// newTicket returns a ticket for a random endpoint.
func (w *simulation) newTicket() binder.Ticket {
	e := w.endpoints[w.rng.IntN(endpointCount)]
	return binder.New(e.name(), e.state.Incarnation(), w.now.Add(ticketTTL), strconv.Itoa(w.rng.Int()))
}

// bindKey returns the ticket that a key is, or the one that is claimed for it.
func (w *simulation) bindKey(key string) (binder.Ticket, error) {
	if binder.IsTicket(key) {
		return binder.Parse(key, w.now)
	}
	return w.claims.Claim(background, account, "desk", key, w.newTicket())
}

// perform executes an action and those that follow it without waiting.
func (s *session) perform(action dispatcher.Action) {
	for !s.done {
		s.action = action.Do
		event := s.execute(action)
		if event == nil {
			return
		}
		s.dispatch, action = s.dispatch.WithEvent(s.attempt.Endpoint(), event)
	}
}

// execute executes an action and returns the event that follows at once, nil if the entry has to wait for one.
func (s *session) execute(action dispatcher.Action) dispatcher.Event {
	switch action.Do {
	case dispatcher.DoSend:
		return s.send()
	case dispatcher.DoResume:
		s.sendToEndpoint(requestResume, action.Offset)
	case dispatcher.DoSettle:
		s.settleNumber++
		s.sendToEndpoint(requestSettle, 0)
	case dispatcher.DoForward:
		if action.Frame.IsLast() {
			s.complete = true
			s.conclude(attempt.OutcomeRan)
			return nil
		}
		s.frames = append(s.frames, action.Frame)
	case dispatcher.DoConclude:
		s.conclude(action.Outcome)
	}
	return nil
}

// send starts the live attempt, for an unbound request at a random endpoint that need not be avoided.
func (s *session) send() dispatcher.Event {
	s.attempt = s.attempt.WithNumber(s.dispatch.Number())
	s.sent = false
	if !s.bound {
		e := s.sim.endpoints[s.sim.rng.IntN(endpointCount)]
		if strings.Contains(strings.Join(s.dispatch.Avoid(), " "), e.name()) {
			return dispatcher.NoEndpointLeft{}
		}
		s.attempt = s.attempt.WithTarget(e.name(), e.state.Incarnation())
	}
	if s.sim.inject(FaultConnectionRefused, oddsOften) {
		return dispatcher.ConnectionFailed{}
	}
	s.sent = true
	s.sendToEndpoint(requestRun, 0)
	return nil
}

func (s *session) sendToEndpoint(kind requestKind, offset uint64) {
	index, _ := strconv.Atoi(strings.TrimPrefix(s.attempt.Endpoint(), "desk-"))
	s.sim.send(endpointRequest{from: s, endpoint: index, attempt: s.attempt, kind: kind, offset: offset, settleNumber: s.settleNumber})
}

// receive handles a frame on the live attempt's stream; it ignores frames once the request has
// ended and while a settle request is pending.
func (s *session) receive(stream []byte) {
	if s.done || s.action == dispatcher.DoSettle {
		return
	}
	f, err := s.sim.reader(stream, s.attempt.ID())
	if err != nil {
		s.handle(dispatcher.ConnectionFailed{Sent: true})
		return
	}
	s.handle(dispatcher.FrameReceived{Frame: f})
}

// receiveSettle handles a reply to the latest settle request and ignores replies to earlier ones.
func (s *session) receiveSettle(m settleReply) {
	if !s.done && s.action == dispatcher.DoSettle && m.settleNumber == s.settleNumber {
		s.handle(dispatcher.SettleResult{Outcome: m.outcome})
	}
}

// checkTimers times the request out if its deadline has passed; otherwise the connection in use may fall silent.
func (s *session) checkTimers() {
	switch {
	case s.done:
	case s.sim.now.After(s.attempt.Deadline()):
		s.handle(dispatcher.DeadlineExceeded{Sent: s.sent})
	case !s.sim.inject(FaultSilentConnection, oddsOften):
	case s.action == dispatcher.DoSettle:
		s.handle(dispatcher.SettleResult{NoReply: true})
	default:
		s.handle(dispatcher.ConnectionFailed{Sent: true})
	}
}

func (s *session) handle(event dispatcher.Event) {
	next, action := s.dispatch.WithEvent(s.attempt.Endpoint(), event)
	s.dispatch = next
	s.perform(action)
}

// crash ends a request as a crash of its entry does; its caller is told no outcome.
func (s *session) crash() { s.done = true }

func (s *session) conclude(outcome attempt.Outcome) {
	s.done, s.outcome = true, outcome
	s.sim.report.Outcomes[outcome]++
	if s.complete {
		s.sim.report.Complete++
	}
}

// runIndex returns the index of the run whose answer the caller reads, taken from its first frame.
func (s *session) runIndex() int {
	fields := strings.Split(string(s.frames[0].Data()), "/")
	run, _ := strconv.Atoi(fields[len(fields)-2])
	return run
}
