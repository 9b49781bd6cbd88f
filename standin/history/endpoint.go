package history

import (
	"fmt"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/keeper"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/ledger"
)

// Keeper decides about an event at an endpoint as keeper.Step does.
type Keeper func(keeper.State, keeper.Event) (keeper.State, []keeper.Effect)

func keeperStep(s keeper.State, e keeper.Event) (keeper.State, []keeper.Effect) {
	return keeper.Step(s, e)
}

// answer is what an endpoint keeps of one run.
type answer struct {
	owner   attempt.Attempt
	run     int
	frames  []attempt.Frame
	streams []stream
	touched bool
}

// stream follows an answer.
type stream struct {
	to      *session
	attempt attempt.Attempt
	next    int
}

// endpoint is one incarnation of an endpoint process beside its back end.
type endpoint struct {
	world   *world
	index   int
	state   keeper.State
	skew    time.Duration
	answers map[string]*answer
	running []*answer
}

func (w *world) newEndpoint(index int) *endpoint {
	incarnation := attempt.Incarnation(fmt.Sprintf("i%d-%d", index, w.rng.Uint32()))
	limit := ledger.Limit(1 + w.rng.IntN(6))
	return &endpoint{
		world: w, index: index, answers: map[string]*answer{},
		state: keeper.New(ledger.New(incarnation, limit)),
	}
}

func (e *endpoint) now() time.Time { return e.world.now.Add(e.skew) }

func (e *endpoint) name() string { return fmt.Sprintf("desk-%d", e.index) }

func (e *endpoint) do(event keeper.Event) {
	next, effects := e.world.keeper(e.state, event)
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

func (e *endpoint) tick() { e.do(keeper.Tick{At: e.now()}) }

func (e *endpoint) drain() { e.do(keeper.Drain{}) }

// take answers a message as the endpoint process's server does.
func (e *endpoint) take(m ask) {
	switch m.kind {
	case askRun:
		reply := make(chan keeper.Verdict, 1)
		e.do(keeper.Admit{Attempt: m.attempt, At: e.now(), Reply: reply})
		verdict := <-reply
		if !verdict.Admitted && verdict.Kind != ledger.KindDuplicate {
			e.end(m, verdict.Kind.Outcome(), string(verdict.Kind))
			return
		}
		e.follow(m, m.attempt.Identity())
	case askResume:
		e.follow(m, m.attempt.ID())
	case askSettle:
		reply := make(chan attempt.Outcome, 1)
		e.do(keeper.Tombstone{Attempt: m.attempt, Reply: reply})
		e.world.send(settledReply{to: m.from, settle: m.settle, outcome: <-reply})
	}
}

func (e *endpoint) follow(m ask, key string) {
	a, found := e.answers[key]
	switch {
	case m.attempt.Incarnation() != e.state.Incarnation():
		e.end(m, attempt.OutcomeUnknown, string(ledger.KindOtherIncarnation))
	case !found && key == m.attempt.Identity():
		e.end(m, attempt.OutcomeRan, attempt.ReasonAnswerGone)
	case !found:
		e.end(m, attempt.OutcomeUnknown, string(ledger.KindForgotten))
	default:
		e.answers[m.attempt.ID()] = a
		a.streams = append(a.streams, stream{to: m.from, attempt: m.attempt, next: int(m.offset)})
		e.push(a)
	}
}

func (e *endpoint) end(m ask, outcome attempt.Outcome, reason string) {
	f := attempt.NewFrame(0, attempt.Last(outcome, reason))
	e.world.send(told{to: m.from, stream: encode(m.attempt.ID(), f)})
}

// push sends every stream what it has not had yet.
func (e *endpoint) push(a *answer) {
	for i, s := range a.streams {
		for ; s.next < len(a.frames); s.next++ {
			f := a.frames[s.next]
			if f.Outcome() == attempt.OutcomeNotRun && s.attempt.ID() != a.owner.ID() {
				f = attempt.NewFrame(f.Offset(), attempt.Last(attempt.OutcomeUnknown, f.Reason()))
			}
			e.world.send(told{to: s.to, stream: encode(s.attempt.ID(), f)})
		}
		a.streams[i] = s
	}
}

// work lets the back end produce a frame of any attempt that runs.
func (e *endpoint) work() {
	if len(e.running) == 0 {
		return
	}
	i := e.world.rng.IntN(len(e.running))
	a := e.running[i]
	offset := uint64(len(a.frames))
	switch {
	case !a.touched && e.world.strikes(FaultBackEnd, oddsOften):
		e.do(keeper.RollBack{Attempt: a.owner})
		a.frames = append(a.frames, attempt.NewFrame(offset, attempt.Last(attempt.OutcomeNotRun, attempt.ReasonEngineUnreachable)))
	case !a.touched:
		a.touched, a.run = true, len(e.world.runs)
		e.world.runs = append(e.world.runs, run{work: string(a.owner.Body()), request: a.owner.Request()})
		return
	case offset < frames:
		data := content(string(a.owner.Body()), a.run, int(offset))
		a.frames = append(a.frames, attempt.NewFrame(offset, attempt.Data([]byte(data))))
		e.push(a)
		return
	default:
		e.do(keeper.Finish{Identity: a.owner.Identity()})
		a.frames = append(a.frames, attempt.NewFrame(offset, attempt.Last(attempt.OutcomeRan, "")))
	}
	e.running = append(e.running[:i], e.running[i+1:]...)
	e.push(a)
}
