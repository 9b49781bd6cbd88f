package attempt

// Outcome states whether a request has run, as far as that is certain.
type Outcome string

// The outcomes on the wire.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// The reasons for which an answer ends before it is complete.
const (
	// ReasonAnswerGone means that the request ran, but its answer is no longer kept.
	ReasonAnswerGone = "answer-gone"
	// ReasonOffsetBeyondEnd means that the answer ends before the requested offset.
	ReasonOffsetBeyondEnd = "beyond"
	// ReasonTimeout means that the deadline passed while the request ran.
	ReasonTimeout = "timeout"
	// ReasonEngineFailed means that the engine did not complete its answer.
	ReasonEngineFailed = "engine"
	// ReasonEngineUnreachable means that no part of the request reached the engine.
	ReasonEngineUnreachable = "engine-unreachable"
	// ReasonAnswerTooLarge means that the answer exceeds the size that is kept for one request.
	ReasonAnswerTooLarge = "answer-large"
	// ReasonOtherOwner means that the answer belongs to another account or service.
	ReasonOtherOwner = "foreign"
)
