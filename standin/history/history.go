package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/claimer"
	"github.com/kingcupstile/kingcupstile/standin/platform"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// The size of a history: simulation steps, endpoints, callers, and data frames in a complete answer.
const (
	stepCount       = 220
	endpointCount   = 3
	callerCount     = 3
	framesPerAnswer = 4
)

// The odds of an event: one in so many. An enabled fault is injected with its odds wherever it can occur.
const (
	oddsOften  = 6
	oddsRarely = 60
	oddsTick   = 4
)

// account is the client account that sends every request.
const account = "amagambo"

// simulation is the state of one history; enabled holds the faults that may be injected into it.
type simulation struct {
	rng       *rand.Rand
	now       time.Time
	enabled   map[Fault]bool
	report    Report
	endpoints []*endpoint
	sessions  []*session
	inFlight  []message
	runs      []run
	store     *platform.Store
	claims    *claimer.Claimer
	step      StepFunc
	reader    ReadFunc
}

// Option sets a field of a history under construction.
type Option func(*simulation)

// EndpointStep replaces keeper.Step at the endpoints, so that a test can run a faulty version.
func EndpointStep(f StepFunc) Option { return func(w *simulation) { w.step = f } }

// FrameReader replaces the function that reads an attempt's frames, so that a test can run a faulty version.
func FrameReader(f ReadFunc) Option { return func(w *simulation) { w.reader = f } }

// Play simulates the history of a seed; Err in the report names the first guarantee that was broken.
func Play(seed uint64, options ...Option) Report {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_800_000_000, 0), enabled: map[Fault]bool{},
		report: Report{Outcomes: map[attempt.Outcome]int{}, Faults: map[Fault]int{}},
		step:   keeperStep, reader: readFrame,
	}
	for _, option := range options {
		option(w)
	}
	for _, f := range []Fault{
		FaultLostMessage, FaultDuplicateMessage, FaultMisroutedFrame, FaultConnectionRefused, FaultSilentConnection,
		FaultEndpointRestart, FaultEndpointDrain, FaultRunnerUnreachable, FaultEntryCrash, FaultResend,
		FaultPlatformDown, FaultPlatformReplyLost, FaultClockSetBack, FaultDeadlinePassed,
	} {
		w.enabled[f] = w.rng.IntN(2) == 0
	}
	w.store = platform.New(platform.Faults(w.platformFault))
	w.claims = claimer.New(w.store, claimer.Now(func() time.Time { return w.now }))
	for i := range endpointCount {
		w.endpoints = append(w.endpoints, w.newEndpoint(i))
	}
	w.simulate()
	w.report.Runs = len(w.runs)
	w.report.Err = w.check()
	return w.report
}

// inject reports whether to inject a fault now, and counts it.
func (w *simulation) inject(f Fault, odds int) bool {
	if !w.enabled[f] || w.rng.IntN(odds) > 0 {
		return false
	}
	w.report.Faults[f]++
	return true
}

func (w *simulation) simulate() {
	for i := range callerCount {
		w.sendFirst(i)
	}
	for range stepCount {
		w.now = w.now.Add(time.Duration(w.rng.IntN(400)) * time.Millisecond)
		w.injectProcessFault()
		switch w.rng.IntN(4) {
		case 0:
			w.endpoints[w.rng.IntN(endpointCount)].advanceRun()
		case 1:
			w.sessions[w.rng.IntN(len(w.sessions))].checkTimers()
		default:
			w.deliver()
		}
	}
	// Messages still in flight arrive late, without further faults.
	w.enabled = map[Fault]bool{}
	for range stepCount {
		w.deliver()
	}
}

// injectProcessFault restarts or drains an endpoint, sets its clock back, advances the time past deadlines, crashes
// the entry of a request, or sends a request again; it also ticks a random endpoint at times.
func (w *simulation) injectProcessFault() {
	e := w.endpoints[w.rng.IntN(endpointCount)]
	switch {
	case w.inject(FaultEndpointRestart, oddsRarely):
		w.endpoints[e.index] = w.newEndpoint(e.index)
	case w.inject(FaultEndpointDrain, oddsRarely):
		e.drain()
	case w.inject(FaultClockSetBack, oddsRarely):
		e.clockSkew -= time.Duration(w.rng.IntN(90)) * time.Second
	case w.inject(FaultDeadlinePassed, oddsRarely):
		w.now = w.now.Add(time.Duration(w.rng.IntN(90)) * time.Second)
	case w.inject(FaultEntryCrash, oddsRarely):
		w.sessions[w.rng.IntN(len(w.sessions))].crash()
	case w.inject(FaultResend, oddsRarely):
		w.resend(w.sessions[w.rng.IntN(len(w.sessions))])
	}
	if w.rng.IntN(oddsTick) == 0 {
		e.tick()
	}
}

// platformFault fails a platform call before it takes effect, or loses its reply.
func (w *simulation) platformFault(platform.Call, string) (before, after error) {
	switch {
	case w.inject(FaultPlatformDown, oddsOften):
		return fault.New("call", kingcupstile.KindUnavailable, nil), nil
	case w.inject(FaultPlatformReplyLost, oddsOften):
		return nil, fault.New("call", kingcupstile.KindUncertain, nil)
	}
	return nil, nil
}

// content returns the data of the frame at an offset of a run's answer.
func content(work string, run, offset int) string { return fmt.Sprintf("%s/%d/%d", work, run, offset) }

var background = context.Background()
