package dispatcher

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// Event is the result of the last action.
type Event interface{ isEvent() }

// FrameReceived carries a frame of the current attempt's answer.
type FrameReceived struct{ Frame attempt.Frame }

// ConnectionFailed reports that the connection could not be opened, broke, or timed out; Sent is false if nothing of
// the attempt was written. Unresumable is true if no other endpoint can go on with the answer, as it is not known after which event.
type ConnectionFailed struct{ Sent, Unresumable bool }

// SettleResult carries the outcome that DoSettle obtained; NoReply is true if the endpoint did not reply.
type SettleResult struct {
	Outcome attempt.Outcome
	NoReply bool
}

// NoEndpointLeft reports that no endpoint is available for the next attempt.
type NoEndpointLeft struct{}

// SendDenied reports that the next attempt was not allowed, and why the request ends.
type SendDenied struct{ Reason string }

// AnswerPaused reports that the current attempt has not failed, but gives nothing of its answer at present.
type AnswerPaused struct{}

// StandbyFailed reports that the attempt beside the current one, at another endpoint, failed or was refused.
type StandbyFailed struct{}

// SendWithheld reports that nothing of the current attempt was written, as its endpoint was closed for new attempts after it was chosen.
// The attempt is sent to another endpoint and counts once.
type SendWithheld struct{}

// StandbyWithheld reports the same of the attempt beside the current one, which ends and does not count.
type StandbyWithheld struct{}

// DeadlineExceeded reports that the request's deadline passed; Sent is false if nothing of the current attempt was
// written.
type DeadlineExceeded struct{ Sent bool }

func (FrameReceived) isEvent()    {}
func (ConnectionFailed) isEvent() {}
func (SettleResult) isEvent()     {}
func (NoEndpointLeft) isEvent()   {}
func (SendDenied) isEvent()       {}
func (AnswerPaused) isEvent()     {}
func (StandbyFailed) isEvent()    {}
func (SendWithheld) isEvent()     {}
func (StandbyWithheld) isEvent()  {}
func (DeadlineExceeded) isEvent() {}

// Do is the kind of an action.
type Do string

// The kinds of actions.
const (
	// DoSend sends an attempt.
	DoSend Do = "send"
	// DoStandby sends an attempt beside the current one, whose answer is still awaited; the first to answer is used.
	DoStandby Do = "standby"
	// DoResume opens another stream of the current attempt's answer, from Offset on.
	DoResume Do = "resume"
	// DoSettle asks the endpoint never to start the attempt, and for the outcome that is certain after that.
	DoSettle Do = "settle"
	// DoForward writes Frame to the caller and reads the next one.
	DoForward Do = "forward"
	// DoIgnore drops the last event and reads the next frame.
	DoIgnore Do = "ignore"
	// DoConclude ends the request without a complete answer, with Outcome and Reason.
	DoConclude Do = "conclude"
)

// Action is what the entry does next, once Wait has passed.
type Action struct {
	Do      Do
	Wait    time.Duration
	Frame   attempt.Frame
	Offset  uint64
	Outcome attempt.Outcome
	Reason  string
}
