package history

import (
	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// Report counts, for one history, the outcomes that callers were told, the complete answers, the runs and the injected
// faults; Err is the broken guarantee, nil if none.
type Report struct {
	Outcomes map[attempt.Outcome]int
	Complete int
	Runs     int
	Faults   map[Fault]int
	Err      error
}

// Fault names a fault that is injected into a history.
type Fault string

// The faults that a history may have.
const (
	FaultLostMessage       Fault = "message lost"
	FaultDuplicateMessage  Fault = "message doubled"
	FaultMisroutedFrame    Fault = "frame on another stream"
	FaultConnectionRefused Fault = "connection refused"
	FaultSilentConnection  Fault = "connection silent"
	FaultEndpointRestart   Fault = "endpoint restarts"
	FaultEndpointDrain     Fault = "endpoint leaves"
	FaultRunnerUnreachable Fault = "back end unreachable"
	FaultEntryCrash        Fault = "entry dies"
	FaultResend            Fault = "caller sends again"
	FaultPlatformDown      Fault = "platform down"
	FaultPlatformReplyLost Fault = "platform's answer lost"
	FaultClockSetBack      Fault = "clock set back"
	FaultDeadlinePassed    Fault = "deadline passes"
)

// run is one execution of a payload by a runner, and the request whose attempt started it.
type run struct {
	payload string
	request string
}

// check returns an error for the first guarantee that the history broke, nil if none. A payload that is not repeatable
// runs at most once. If a request was told not-run, its payload must not have run before the request was sent, nor for
// this request at any time; concurrent requests with one key may take effect in any order.
func (w *simulation) check() error {
	for _, s := range w.sessions {
		own, all := 0, 0
		for _, r := range w.runs {
			if r.payload == s.payload {
				all++
				if r.request == s.request {
					own++
				}
			}
		}
		switch {
		case !s.repeatable && all > 1:
			return errors.Newf("%s ran %d times, want at most once", s.payload, all)
		case s.outcome == attempt.OutcomeNotRun && (s.ranBefore || own > 0):
			return errors.Newf("%s was told not-run, but its payload %s ran", s.request, s.payload)
		}
		if err := s.checkAnswer(); err != nil {
			return err
		}
	}
	return nil
}

// checkAnswer returns an error unless the caller read a prefix of one run's answer, and all of it if told so.
func (s *session) checkAnswer() error {
	for i, f := range s.frames {
		if string(f.Data()) != content(s.payload, s.runIndex(), i) {
			return errors.Newf("%s read %q as frame %d, which is not that frame of the run", s.request, f.Data(), i)
		}
	}
	if s.complete && len(s.frames) != framesPerAnswer {
		return errors.Newf("%s was told that its answer is complete after %d frames", s.request, len(s.frames))
	}
	return nil
}
