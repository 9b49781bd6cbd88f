package history

import (
	"fmt"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/keeper"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/ledger"
)

// StepFunc has the signature of keeper.Step: it returns an endpoint's next state and the effects of an event.
type StepFunc func(keeper.State, keeper.Event) (keeper.State, []keeper.Effect)

func keeperStep(s keeper.State, e keeper.Event) (keeper.State, []keeper.Effect) {
	return keeper.Step(s, e)
}

// answer is the buffered answer of one run, whose first attempt is owner; runIndex is valid once reachedRunner is set.
type answer struct {
	owner         attempt.Attempt
	runIndex      int
	frames        []attempt.Frame
	subscribers   []subscriber
	reachedRunner bool
}

// subscriber is an attempt that streams an answer; next is the offset of the next frame to send.
type subscriber struct {
	to      *session
	attempt attempt.Attempt
	next    int
}

// endpoint is one incarnation of an endpoint process and its runner. An answer is found under its request's identity
// and under the identifier of each attempt that streams it.
type endpoint struct {
	sim       *simulation
	index     int
	state     keeper.State
	clockSkew time.Duration
	answers   map[string]*answer
	running   []*answer
}

func (w *simulation) newEndpoint(index int) *endpoint {
	incarnation := attempt.Incarnation(fmt.Sprintf("i%d-%d", index, w.rng.Uint32()))
	limit := ledger.Limit(1 + w.rng.IntN(6))
	return &endpoint{
		sim: w, index: index, answers: map[string]*answer{},
		state: keeper.New(ledger.New(incarnation, limit)),
	}
}

func (e *endpoint) now() time.Time { return e.sim.now.Add(e.clockSkew) }

func (e *endpoint) name() string { return fmt.Sprintf("desk-%d", e.index) }

func (e *endpoint) handle(event keeper.Event) {
	next, effects := e.sim.step(e.state, event)
	e.state = next
	for _, effect := range effects {
		if start, ok := effect.(keeper.Start); ok {
			a := &answer{owner: start.Attempt}
			e.answers[start.Verdict.Identity], e.answers[start.Attempt.ID()] = a, a
			e.running = append(e.running, a)
			start.Reply <- start.Verdict
			continue
		}
		e.reply(effect)
	}
}

func (e *endpoint) reply(effect keeper.Effect) {
	switch f := effect.(type) {
	case keeper.Refuse:
		f.Reply <- f.Verdict
	case keeper.ReplyOutcome:
		f.Reply <- f.Outcome
	}
}

func (e *endpoint) tick() { e.handle(keeper.Tick{At: e.now()}) }

func (e *endpoint) drain() { e.handle(keeper.Drain{}) }

// receive handles a request from an entry as the server of an endpoint process does.
func (e *endpoint) receive(m endpointRequest) {
	switch m.kind {
	case requestRun:
		reply := make(chan keeper.Verdict, 1)
		e.handle(keeper.Admit{Attempt: m.attempt, At: e.now(), Reply: reply})
		verdict := <-reply
		if !verdict.Admitted && verdict.Kind != ledger.KindDuplicate {
			e.sendLast(m, verdict.Kind.Outcome(), string(verdict.Kind))
			return
		}
		e.subscribe(m, m.attempt.Identity())
	case requestResume:
		e.subscribe(m, m.attempt.ID())
	case requestSettle:
		reply := make(chan attempt.Outcome, 1)
		e.handle(keeper.Tombstone{Attempt: m.attempt, Reply: reply})
		e.sim.send(settleReply{to: m.from, settleNumber: m.settleNumber, outcome: <-reply})
	}
}

// subscribe streams the answer found under key to the sender from the requested offset, or ends the stream with a
// reason if there is none.
func (e *endpoint) subscribe(m endpointRequest, key string) {
	a, found := e.answers[key]
	switch {
	case m.attempt.Incarnation() != e.state.Incarnation():
		e.sendLast(m, attempt.OutcomeUnknown, string(ledger.KindOtherIncarnation))
	case !found && key == m.attempt.Identity():
		e.sendLast(m, attempt.OutcomeRan, attempt.ReasonAnswerGone)
	case !found:
		e.sendLast(m, attempt.OutcomeUnknown, string(ledger.KindForgotten))
	default:
		e.answers[m.attempt.ID()] = a
		a.subscribers = append(a.subscribers, subscriber{to: m.from, attempt: m.attempt, next: int(m.offset)})
		e.sendFrames(a)
	}
}

// sendLast sends a last frame without an answer.
func (e *endpoint) sendLast(m endpointRequest, outcome attempt.Outcome, reason string) {
	f := attempt.NewFrame(0, attempt.Last(outcome, reason))
	e.sim.send(frameMessage{to: m.from, stream: encode(m.attempt.ID(), f)})
}

// sendFrames sends every subscriber the frames that it has not been sent. A not-run outcome holds for the owner's
// attempt only, so other attempts get unknown.
func (e *endpoint) sendFrames(a *answer) {
	for i, s := range a.subscribers {
		for ; s.next < len(a.frames); s.next++ {
			f := a.frames[s.next]
			if f.Outcome() == attempt.OutcomeNotRun && s.attempt.ID() != a.owner.ID() {
				f = attempt.NewFrame(f.Offset(), attempt.Last(attempt.OutcomeUnknown, f.Reason()))
			}
			e.sim.send(frameMessage{to: s.to, stream: encode(s.attempt.ID(), f)})
		}
		a.subscribers[i] = s
	}
}

// advanceRun picks a running attempt at random and advances it by one step: it fails to reach the runner, starts,
// produces a frame, or finishes.
func (e *endpoint) advanceRun() {
	if len(e.running) == 0 {
		return
	}
	i := e.sim.rng.IntN(len(e.running))
	a := e.running[i]
	offset := uint64(len(a.frames))
	switch {
	case !a.reachedRunner && e.sim.inject(FaultRunnerUnreachable, oddsOften):
		e.handle(keeper.RollBack{Attempt: a.owner})
		a.frames = append(a.frames, attempt.NewFrame(offset, attempt.Last(attempt.OutcomeNotRun, attempt.ReasonEngineUnreachable)))
	case !a.reachedRunner:
		a.reachedRunner, a.runIndex = true, len(e.sim.runs)
		e.sim.runs = append(e.sim.runs, run{payload: string(a.owner.Body()), request: a.owner.Request()})
		return
	case offset < framesPerAnswer:
		data := content(string(a.owner.Body()), a.runIndex, int(offset))
		a.frames = append(a.frames, attempt.NewFrame(offset, attempt.Data([]byte(data))))
		e.sendFrames(a)
		return
	default:
		e.handle(keeper.Finish{Identity: a.owner.Identity()})
		a.frames = append(a.frames, attempt.NewFrame(offset, attempt.Last(attempt.OutcomeRan, "")))
	}
	e.running = append(e.running[:i], e.running[i+1:]...)
	e.sendFrames(a)
}
