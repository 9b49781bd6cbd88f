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

// timeout is how long a request may take.
const timeout = 40 * time.Second

// ticketLife is how long a ticket of a history may be used.
const ticketLife = 90 * time.Second

// session is one request that a caller sent to an entry.
type session struct {
	world      *world
	work       string
	key        string
	request    string
	repeatable bool
	bound      bool
	attempt    attempt.Attempt
	dispatch   dispatcher.Dispatch
	action     dispatcher.Do
	written    bool
	settles    int
	over       bool
	told       attempt.Outcome
	ranBefore  bool
	whole      bool
	read       []attempt.Frame
}

// call lets a caller send its work with a ticket, with a key of its own, without a key, or as repeatable.
func (w *world) call(i int) {
	s := &session{work: fmt.Sprintf("work-%d", i)}
	switch w.rng.IntN(4) {
	case 0:
		s.key = w.propose().Key()
	case 1:
		s.key = fmt.Sprintf("slip-%d", i)
	case 2:
		s.repeatable = true
	}
	w.start(s)
}

// resend lets a caller send its work again with the same key, to any entry.
func (w *world) resend(s *session) {
	if s.key != "" {
		w.start(&session{work: s.work, key: s.key})
	}
}

func (w *world) start(s *session) {
	s.world, s.request, s.told = w, fmt.Sprintf("r%d", len(w.sessions)), ""
	s.ranBefore = slices.ContainsFunc(w.runs, func(r run) bool { return r.work == s.work })
	w.sessions = append(w.sessions, s)
	deadline := w.now.Add(timeout)
	options := []attempt.Option{
		attempt.Account(account), attempt.Service("desk"), attempt.Key(s.key), attempt.Repeatable(s.repeatable),
		attempt.Deadline(deadline), attempt.Expiry(deadline), attempt.HTTP("POST", "/", nil, []byte(s.work)),
	}
	if s.key != "" {
		ticket, err := w.bind(s.key)
		if err != nil {
			s.conclude(attempt.OutcomeUnknown)
			return
		}
		options = append(options, attempt.Expiry(ticket.Expiry()), attempt.To(ticket.Endpoint(), ticket.Incarnation()))
		s.bound = true
	}
	s.attempt = attempt.New(s.request, options...)
	s.dispatch = dispatcher.New(s.attempt)
	s.do(dispatcher.Action{Do: dispatcher.DoSend})
}

func (w *world) propose() binder.Ticket {
	e := w.endpoints[w.rng.IntN(endpoints)]
	return binder.New(e.name(), e.state.Incarnation(), w.now.Add(ticketLife), strconv.Itoa(w.rng.Int()))
}

func (w *world) bind(key string) (binder.Ticket, error) {
	if binder.IsTicket(key) {
		return binder.Parse(key, w.now)
	}
	return w.claims.Claim(background, account, "desk", key, w.propose())
}

// do carries out an action and every one that follows at once.
func (s *session) do(action dispatcher.Action) {
	for !s.over {
		s.action = action.Do
		event := s.carry(action)
		if event == nil {
			return
		}
		s.dispatch, action = s.dispatch.WithEvent(s.attempt.Endpoint(), event)
	}
}

// carry returns the event that an action leads to at once, nil if the entry has to wait for one.
func (s *session) carry(action dispatcher.Action) dispatcher.Event {
	switch action.Do {
	case dispatcher.DoSend:
		return s.send()
	case dispatcher.DoResume:
		s.ask(askResume, action.Offset)
	case dispatcher.DoSettle:
		s.settles++
		s.ask(askSettle, 0)
	case dispatcher.DoForward:
		if action.Frame.IsLast() {
			s.whole = true
			s.conclude(attempt.OutcomeRan)
			return nil
		}
		s.read = append(s.read, action.Frame)
	case dispatcher.DoConclude:
		s.conclude(action.Outcome)
	}
	return nil
}

func (s *session) send() dispatcher.Event {
	s.attempt = s.attempt.WithNumber(s.dispatch.Number())
	s.written = false
	if !s.bound {
		e := s.world.endpoints[s.world.rng.IntN(endpoints)]
		if strings.Contains(strings.Join(s.dispatch.Avoid(), " "), e.name()) {
			return dispatcher.NoEndpointLeft{}
		}
		s.attempt = s.attempt.WithTarget(e.name(), e.state.Incarnation())
	}
	if s.world.strikes(FaultUnsent, oddsOften) {
		return dispatcher.ConnectionFailed{}
	}
	s.written = true
	s.ask(askRun, 0)
	return nil
}

func (s *session) ask(kind askKind, offset uint64) {
	index, _ := strconv.Atoi(strings.TrimPrefix(s.attempt.Endpoint(), "desk-"))
	s.world.send(ask{from: s, endpoint: index, attempt: s.attempt, kind: kind, offset: offset, settle: s.settles})
}

// take reads what arrives on the live attempt's stream.
func (s *session) take(stream []byte) {
	if s.over || s.action == dispatcher.DoSettle {
		return
	}
	f, err := s.world.reader(stream, s.attempt.ID())
	if err != nil {
		s.on(dispatcher.ConnectionFailed{Sent: true})
		return
	}
	s.on(dispatcher.FrameReceived{Frame: f})
}

func (s *session) settled(m settledReply) {
	if !s.over && s.action == dispatcher.DoSettle && m.settle == s.settles {
		s.on(dispatcher.SettleResult{Outcome: m.outcome})
	}
}

// wake lets the deadline pass, or the connection that the entry waits on fall silent.
func (s *session) wake() {
	switch {
	case s.over:
	case s.world.now.After(s.attempt.Deadline()):
		s.on(dispatcher.DeadlineExceeded{Sent: s.written})
	case !s.world.strikes(FaultSilence, oddsOften):
	case s.action == dispatcher.DoSettle:
		s.on(dispatcher.SettleResult{NoReply: true})
	default:
		s.on(dispatcher.ConnectionFailed{Sent: true})
	}
}

func (s *session) on(event dispatcher.Event) {
	next, action := s.dispatch.WithEvent(s.attempt.Endpoint(), event)
	s.dispatch = next
	s.do(action)
}

// die ends a request's entry; its caller is told nothing.
func (s *session) die() { s.over = true }

func (s *session) conclude(outcome attempt.Outcome) {
	s.over, s.told = true, outcome
	s.world.report.Told[outcome]++
	if s.whole {
		s.world.report.Whole++
	}
}

// runOf returns the number of the run whose answer the caller reads.
func (s *session) runOf() int {
	fields := strings.Split(string(s.read[0].Data()), "/")
	run, _ := strconv.Atoi(fields[len(fields)-2])
	return run
}
