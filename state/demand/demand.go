package demand

import "time"

// Request holds the parameters that a caller sends in the head of a request.
type Request struct {
	// ID is the caller's request identifier; it is unique for each send.
	ID string
	// Host (lower case, without a port) and Path (without the query) select the route.
	Host, Path string
	// Key is the caller's API key, empty if it sent none.
	Key string
	// Timeout is how long the caller waits for the answer, 0 if it did not say.
	Timeout time.Duration
	// PromptTokens is the length of the prompt and MaxAnswerTokens the most tokens to generate; 0 if not given.
	PromptTokens, MaxAnswerTokens int
	// Model names the requested model.
	Model string
	// PromptParts identifies the parts of the prompt in order; the last part is specific to the request or its session.
	PromptParts []string
	// LastEvent is the identifier of the last stream event that the caller received, empty unless it resumes a stream.
	LastEvent string
}

// SharedParts returns the distinct parts of the prompt that other requests may share: all but the last, and none without
// a name.
func (r Request) SharedParts() []string {
	var shared []string
	seen := map[string]bool{"": true}
	for _, part := range r.PromptParts[:max(0, len(r.PromptParts)-1)] {
		if !seen[part] {
			seen[part] = true
			shared = append(shared, part)
		}
	}
	return shared
}

// Target holds the runner that a request is sent to, and what the runner is told besides the caller's own header.
type Target struct {
	// Runner is the identifier of the only runner that may execute the request; any other must refuse it.
	Runner string
	// Account is the name of the client account, empty if the route needs no key.
	Account string
	// Timeout is the time that is left for the runner to answer.
	Timeout time.Duration
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// LastEvent is the identifier of the last stream event that the caller received, empty if there is none.
	LastEvent string
}

// Reply holds the metadata in the head of a runner's answer.
type Reply struct {
	// ID is the identifier of the request that the answer belongs to, empty if it is not given.
	ID string
	// NotRun reports that the runner did not execute the request and never will.
	NotRun bool
	// Misdirected reports that a runner other than the intended one answered at the address; it implies NotRun.
	Misdirected bool
	// FailedRunner is the IP address and port, or the identifier, of the runner that kept this one from executing the
	// request, empty if unknown.
	FailedRunner string
	// Leaving reports that the runner is about to end and takes no new work.
	Leaving bool
	// Refused reports that the runner has no room and wants no further request for RetryAfter. HasInvalidRetryAfter is set if
	// it gave a time that cannot be read, in place of which RetryAfter is a default.
	Refused, HasInvalidRetryAfter bool
	RetryAfter                    time.Duration
	// Cold is how long the runner stays cold, 0 if it is warm, and HasCold whether the answer says so.
	Cold    time.Duration
	HasCold bool
	// Sealed reports that the answer carries the runner's seal, and so comes from the runner itself.
	Sealed bool
}
