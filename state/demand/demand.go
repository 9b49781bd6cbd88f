package demand

import "time"

// Demand is what a caller's request asks for.
type Demand struct {
	// ID is the caller's identifier of this request, unique for each send.
	ID string
	// Host and Path select the route.
	Host, Path string
	// Key is the caller's secret, empty if it gave none.
	Key string
	// Patience is how long the caller waits, 0 if it did not say.
	Patience time.Duration
	// Prompt and Answer are how many tokens are to be read, and to be written at most.
	Prompt, Answer int
	// Model is the model that is to answer.
	Model string
	// Parts are the identifiers of the prompt's parts, of which the last belongs to the request or its session.
	Parts []string
	// LastEvent is the identifier of the last event that the caller has, empty if it starts anew.
	LastEvent string
}

// Target is where and under which bounds a request is sent.
type Target struct {
	// Runner is the identifier of the only runner that may run it.
	Runner string
	// Account is the client account that the runner is told.
	Account string
	// Left is how long the runner may work.
	Left time.Duration
	// Priority is the request's rank, 0 the most urgent.
	Priority int
	// LastEvent is the identifier of the last event that the caller has.
	LastEvent string
}

// Reply is what the head of a runner's answer says besides the answer itself.
type Reply struct {
	// ID is the request that the answer is for, empty if it does not say.
	ID string
	// NotRun says that the runner did not run the request and never will.
	NotRun bool
	// Moved says that another runner answers at that address.
	Moved bool
	// Culprit is the identifier of the runner that kept this one from running it, empty if unknown.
	Culprit string
	// Sealed says that the answer is the runner's own.
	Sealed bool
}
