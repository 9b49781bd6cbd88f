package answerer

import (
	"bufio"
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/admitter"
	"github.com/kingcupstile/kingcupstile/coordination/archiver"
	"github.com/kingcupstile/kingcupstile/coordination/detector"
	"github.com/kingcupstile/kingcupstile/coordination/keeper"
	"github.com/kingcupstile/kingcupstile/coordination/looper"
	"github.com/kingcupstile/kingcupstile/coordination/recorder"
	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/ledger"
	"github.com/kingcupstile/kingcupstile/transport/dialer"
)

// DefaultHeartbeatInterval is the time without frames after which a stream sends a heartbeat, unless an option says
// otherwise.
const DefaultHeartbeatInterval = 500 * time.Millisecond

// KeyedRetention is how long an answer under an idempotency key is kept after its end, for resends by its caller.
const KeyedRetention = 5 * time.Minute

// ResumeWindow is how long an answer without a key is kept after its end, for streams that broke off near the end.
const ResumeWindow = 30 * time.Second

// tickInterval is how often the keeper removes expired state.
const tickInterval = time.Second

// Answerer is the HTTP server of an endpoint process.
type Answerer struct {
	engine            kingcupstile.Engine
	loop              *looper.Loop[keeper.State, keeper.Event, keeper.Effect]
	log               *slog.Logger
	heartbeatInterval time.Duration
	limit             admitter.Limit
	answers           *archiver.Archiver
	stalls            *detector.Detector
	work              sync.WaitGroup
}

// Option sets a field of an Answerer under construction.
type Option func(*Answerer)

// HeartbeatInterval sets the time without frames after which a stream sends a heartbeat.
func HeartbeatInterval(d time.Duration) Option { return func(a *Answerer) { a.heartbeatInterval = d } }

// Log sets the logger.
func Log(l *slog.Logger) Option { return func(a *Answerer) { a.log = l } }

// Archive sets where answers are kept.
func Archive(archive *archiver.Archiver) Option { return func(a *Answerer) { a.answers = archive } }

// Limit sets the limit on the number of attempts that run at once.
func Limit(l admitter.Limit) Option { return func(a *Answerer) { a.limit = l } }

// New returns the server of an incarnation that runs attempts on engine.
func New(incarnation attempt.Incarnation, engine kingcupstile.Engine, options ...Option) *Answerer {
	a := &Answerer{
		engine: engine, log: slog.New(slog.DiscardHandler), heartbeatInterval: DefaultHeartbeatInterval,
		limit: admitter.NewLimit(), answers: archiver.New(), stalls: detector.New(),
	}
	for _, option := range options {
		option(a)
	}
	initial := keeper.New(ledger.New(incarnation), keeper.Queue(admitter.New(admitter.Concurrency(a.limit))))
	a.loop = looper.New(initial, keeper.Step, a.handle)
	return a
}

// Run processes control events until ctx ends, which also cancels the attempts in progress.
func (a *Answerer) Run(ctx context.Context) {
	go a.tick(ctx)
	a.loop.Run(ctx)
}

func (a *Answerer) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			_ = a.loop.Send(ctx, keeper.Tick{At: now})
		}
	}
}

// Drain makes the endpoint refuse new work; once it returns nil, no further attempt is admitted.
func (a *Answerer) Drain(ctx context.Context) error {
	done := make(chan struct{})
	if err := a.loop.Send(ctx, keeper.Drain{Done: done}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Snapshot returns the control state.
func (a *Answerer) Snapshot() keeper.State { return a.loop.Snapshot() }

// handle carries out an effect; it runs on the control goroutine and must not block.
func (a *Answerer) handle(ctx context.Context, effect keeper.Effect) {
	switch e := effect.(type) {
	case keeper.Start:
		go a.execute(ctx, e.Attempt, a.openAnswer(e.Attempt))
		e.Reply <- e.Verdict
	case keeper.Enqueue:
		a.openAnswer(e.Attempt)
		e.Reply <- e.Verdict
	case keeper.StartQueued:
		if kept, found := a.answers.Find(e.Attempt.ID()); found {
			go a.execute(ctx, e.Attempt, kept.Frames())
		}
	case keeper.Withdraw:
		if kept, found := a.answers.Find(e.Attempt.ID()); found {
			a.finishAnswer(e.Attempt, kept.Frames(), refusalFrame(e.Verdict))
			a.work.Done()
		}
	case keeper.Refuse:
		e.Reply <- e.Verdict
	case keeper.ReplyOutcome:
		e.Reply <- e.Outcome
	case keeper.SignalDrained:
		close(e.Done)
	case keeper.ReleaseExpired:
		a.answers.RemoveExpired(e.At)
	}
}

// openAnswer begins the recording of an attempt's answer and counts the attempt as work that Wait waits for.
func (a *Answerer) openAnswer(at attempt.Attempt) *recorder.Recorder {
	a.work.Add(1)
	return a.answers.Open(at)
}

// finishAnswer appends the last frame of an attempt's answer and sets how long the answer is kept.
func (a *Answerer) finishAnswer(at attempt.Attempt, frames *recorder.Recorder, last attempt.Frame) {
	a.answers.Append(frames, last)
	a.answers.Finish(at, time.Now().Add(retention(at)))
}

// execute runs an attempt on the engine, reports its end to the keeper and ends its answer.
func (a *Answerer) execute(ctx context.Context, at attempt.Attempt, frames *recorder.Recorder) {
	defer a.work.Done()
	a.stalls.Start(time.Now())
	defer a.stalls.End()
	running, cancel := context.WithDeadline(ctx, at.Deadline())
	defer cancel()
	withinLimit := true
	watch := newStopwatch()
	err := a.engine.Run(running, at, func(f attempt.Frame) {
		a.stalls.Progress(time.Now())
		watch.recordFrame(f)
		if withinLimit = withinLimit && a.answers.Append(frames, f); !withinLimit {
			cancel()
		}
	})
	var ended keeper.Event = keeper.Finish{Identity: at.Identity(), Sample: watch.sample(err), At: time.Now()}
	last := attempt.Last(attempt.OutcomeRan, "")
	switch {
	case !withinLimit:
		last = attempt.Last(attempt.OutcomeRan, attempt.ReasonAnswerTooLarge)
	case fault.KindOf[kingcupstile.Kind](err) == kingcupstile.KindUnavailable:
		ended = keeper.RollBack{Attempt: at, At: time.Now()}
		last = attempt.Last(attempt.OutcomeNotRun, attempt.ReasonEngineUnreachable)
	case err != nil && errors.Is(running.Err(), context.DeadlineExceeded):
		last = attempt.Last(attempt.OutcomeUnknown, attempt.ReasonTimeout)
	case err != nil:
		last = attempt.Last(attempt.OutcomeUnknown, attempt.ReasonEngineFailed)
	}
	if err != nil {
		a.log.Warn("engine gave no complete answer; ending the attempt", "correlation", at.Header().Get("X-Request-Id"),
			"request", at.Request(), "attempt", at.Number(), "error", err)
	}
	_ = a.loop.Send(context.WithoutCancel(ctx), ended)
	a.finishAnswer(at, frames, attempt.NewFrame(0, last))
}

func retention(at attempt.Attempt) time.Duration {
	if at.Key() != "" {
		return KeyedRetention
	}
	return ResumeWindow
}

// Handler returns the routes of the endpoint process.
func (a *Answerer) Handler() http.Handler {
	e := echo.New()
	e.POST(dialer.PathRun, a.run)
	e.POST(dialer.PathResume, a.resume)
	e.POST(wire.EndpointPathPrefix+"*", echo.WrapHandler(wire.NewEndpointServer(service{a})))
	return e
}

func (a *Answerer) run(c echo.Context) error {
	wanted := c.Request().Header.Get(dialer.HeaderIncarnation)
	if wanted != "" && wanted != string(a.loop.Snapshot().Incarnation()) {
		return c.NoContent(http.StatusPreconditionFailed)
	}
	m := &wire.Attempt{}
	if err := messenger.Read(bufio.NewReader(c.Request().Body), m); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	at := messenger.DecodeAttempt(m)
	reply := make(chan keeper.Verdict, 1)
	if err := a.loop.Send(c.Request().Context(), keeper.Admit{Attempt: at, At: time.Now(), Reply: reply}); err != nil {
		return a.writeLast(c, at, attempt.NewFrame(0, attempt.Last(attempt.OutcomeNotRun, "stopped")))
	}
	var verdict keeper.Verdict
	select {
	case verdict = <-reply:
	case <-c.Request().Context().Done():
		return c.Request().Context().Err()
	}
	if !verdict.Admitted && verdict.Kind != ledger.KindDuplicate {
		return a.writeLast(c, at, refusalFrame(verdict))
	}
	return a.follow(c, at, at.Identity(), 0)
}

func (a *Answerer) resume(c echo.Context) error {
	m := &wire.Resume{}
	if err := messenger.Read(bufio.NewReader(c.Request().Body), m); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	at := messenger.DecodeAttempt(m.GetAttempt())
	return a.follow(c, at, at.ID(), m.GetOffset())
}

// follow streams the answer recorded under key from the frame at offset on, or answers with a last frame that says why
// it cannot.
func (a *Answerer) follow(c echo.Context, at attempt.Attempt, key string, offset uint64) error {
	recorded, found := a.answers.Find(key)
	switch {
	case at.Incarnation() != a.loop.Snapshot().Incarnation():
		return a.writeLast(c, at, attempt.NewFrame(0, attempt.Last(attempt.OutcomeUnknown, string(ledger.KindOtherIncarnation))))
	case !found && key == at.Identity():
		return a.writeLast(c, at, attempt.NewFrame(0, attempt.Last(attempt.OutcomeRan, attempt.ReasonAnswerGone)))
	case !found:
		return a.writeLast(c, at, attempt.NewFrame(0, attempt.Last(attempt.OutcomeUnknown, string(ledger.KindForgotten))))
	case !recorded.IsReadableBy(at):
		return a.writeLast(c, at, attempt.NewFrame(0, attempt.Last(attempt.OutcomeUnknown, attempt.ReasonOtherOwner)))
	case recorded.Frames() == nil:
		return a.writeLast(c, at, attempt.NewFrame(0, attempt.Last(attempt.OutcomeRan, attempt.ReasonAnswerGone)))
	}
	if key == at.Identity() {
		a.answers.Alias(at)
	}
	c.Response().WriteHeader(http.StatusOK)
	return a.stream(c, at, recorded, recorded.Frames().NewReader(offset))
}

// stream writes frames as they arrive and flushes when no further one is ready; it writes a heartbeat when no frame
// arrived for the heartbeat interval.
func (a *Answerer) stream(c echo.Context, at attempt.Attempt, recorded archiver.Answer, reader *recorder.Reader) error {
	id := at.ID()
	var buffer []byte
	beat := time.NewTimer(a.heartbeatInterval)
	defer beat.Stop()
	for {
		m := &wire.Frame{Attempt: id, Beat: true}
		select {
		case <-c.Request().Context().Done():
			return nil
		case <-beat.C:
		case <-reader.Ready():
			f, ok := reader.Take()
			if !ok {
				continue
			}
			m = messenger.EncodeFrame(id, frameFor(f, recorded.IsRecordedFor(at)))
		}
		beat.Reset(a.heartbeatInterval)
		var err error
		if buffer, err = messenger.Append(buffer[:0], m); err != nil {
			return err
		}
		if _, err = c.Response().Write(buffer); err != nil || m.GetLast() {
			return nil
		}
		select {
		case <-reader.Ready():
		default:
			c.Response().Flush()
		}
	}
}

// frameFor returns a frame as an attempt may see it. The outcome not-run holds only for the attempt whose answer was
// recorded; another attempt that follows the same answer gets the outcome unknown.
func frameFor(f attempt.Frame, own bool) attempt.Frame {
	if f.IsLast() && f.Outcome() == attempt.OutcomeNotRun && !own {
		return attempt.NewFrame(f.Offset(), attempt.Last(attempt.OutcomeUnknown, f.Reason()), attempt.RetryAfter(f.RetryAfter()))
	}
	return f
}

// refusalFrame returns the last frame of an attempt that was refused, or withdrawn from the queue.
func refusalFrame(v keeper.Verdict) attempt.Frame {
	return attempt.NewFrame(0, attempt.Last(v.Kind.Outcome(), string(v.Kind)), attempt.RetryAfter(v.RetryAfter.Milliseconds()))
}

// writeLast answers with a single last frame.
func (a *Answerer) writeLast(c echo.Context, at attempt.Attempt, f attempt.Frame) error {
	c.Response().WriteHeader(http.StatusOK)
	return writeMessage(c, messenger.EncodeFrame(at.ID(), f))
}

func writeMessage(c echo.Context, m proto.Message) error {
	if err := messenger.Write(c.Response(), m); err != nil {
		return err
	}
	c.Response().Flush()
	return nil
}

// Wait returns nil when no attempt is queued or running any more, or the error of ctx; it must be called after Drain.
func (a *Answerer) Wait(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		a.work.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
