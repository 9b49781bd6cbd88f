package archiver

import (
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/recorder"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// DefaultLimit is the limit for all stored answers together, in bytes, unless an option sets another.
const DefaultLimit = 96 << 20

// DefaultMaxAnswerSize is the size limit of one answer, in bytes, unless an option sets another.
const DefaultMaxAnswerSize = 32 << 20

// Answer is one recorded answer with the attempt that it belongs to.
type Answer struct {
	owner    attempt.Attempt
	frames   *recorder.Recorder
	expiry   time.Time
	finished bool
}

// Frames returns the answer's frames, or nil if they were evicted.
func (a Answer) Frames() *recorder.Recorder { return a.frames }

// IsReadableBy reports whether an attempt has the account and the service of the answer.
func (a Answer) IsReadableBy(at attempt.Attempt) bool {
	return a.owner.Account() == at.Account() && a.owner.Service() == at.Service()
}

// IsRecordedFor reports whether the answer was recorded for this attempt, and not for another one of the same identity.
func (a Answer) IsRecordedFor(at attempt.Attempt) bool { return a.owner.ID() == at.ID() }

// Archiver stores answers by identity, by the identifier of their attempt, and by those of the attempts that follow
// them. It is safe for concurrent use, but only one goroutine at a time may append to the same answer.
type Archiver struct {
	limit         int64
	maxAnswerSize int64

	mu       sync.Mutex
	answers  map[string]*Answer
	finished []*Answer
	size     int64
}

// Option sets a field of an Archiver under construction.
type Option func(*Archiver)

// Limit sets the limit for all stored answers together, in bytes; answers in progress may exceed it.
func Limit(bytes int64) Option { return func(a *Archiver) { a.limit = bytes } }

// MaxAnswerSize sets the size limit of one answer, in bytes; a last frame may exceed it.
func MaxAnswerSize(bytes int64) Option { return func(a *Archiver) { a.maxAnswerSize = bytes } }

// New returns an empty archiver.
func New(options ...Option) *Archiver {
	a := &Archiver{limit: DefaultLimit, maxAnswerSize: DefaultMaxAnswerSize, answers: map[string]*Answer{}}
	for _, option := range options {
		option(a)
	}
	return a
}

// Open returns the empty answer of an attempt that was started or queued, and stores it under the attempt's identity
// and identifier.
func (a *Archiver) Open(at attempt.Attempt) *recorder.Recorder {
	answer := &Answer{owner: withoutContent(at), frames: recorder.New()}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers[at.Identity()] = answer
	a.answers[at.ID()] = answer
	return answer.frames
}

// withoutContent returns the attempt without its request's content, so that the stored answer does not retain that.
func withoutContent(at attempt.Attempt) attempt.Attempt {
	return attempt.New(at.Request(), attempt.Number(at.Number()), attempt.Account(at.Account()), attempt.Service(at.Service()))
}

// Find returns the answer that is stored under an identity or an attempt's identifier.
func (a *Archiver) Find(key string) (Answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	answer, found := a.answers[key]
	if !found {
		return Answer{}, false
	}
	return *answer, true
}

// Alias stores the answer of an attempt's identity under the attempt's identifier as well.
func (a *Archiver) Alias(at attempt.Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer, found := a.answers[at.Identity()]; found {
		a.answers[at.ID()] = answer
	}
}

// Append adds the next frame to an answer and returns true, or false without adding it if the answer would become too
// large.
func (a *Archiver) Append(frames *recorder.Recorder, f attempt.Frame) bool {
	before := frames.Size()
	if before+int64(len(f.Data())) > a.maxAnswerSize && !f.IsLast() {
		return false
	}
	frames.Append(f)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.size += frames.Size() - before
	a.evict()
	return true
}

// Finish marks an attempt's answer as finished: it is kept until the given time, and its frames may be evicted earlier.
func (a *Archiver) Finish(at attempt.Attempt, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer, found := a.answers[at.ID()]; found {
		answer.finished, answer.expiry = true, until
		a.finished = append(a.finished, answer)
		a.evict()
	}
}

// evict releases the frames of finished answers, in the order in which they finished, until the rest fits the limit;
// the caller holds mu.
func (a *Archiver) evict() {
	for a.size > a.limit && len(a.finished) > 0 {
		a.release(a.finished[0])
		a.finished[0] = nil
		a.finished = a.finished[1:]
	}
}

// release drops an answer's frames; the caller holds mu.
func (a *Archiver) release(answer *Answer) {
	if answer.frames != nil {
		a.size -= answer.frames.Size()
		answer.frames = nil
	}
}

// Size returns the size of all stored frames in bytes, their overhead included.
func (a *Archiver) Size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.size
}

// RemoveExpired removes the finished answers whose retention ended by now.
func (a *Archiver) RemoveExpired(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := a.finished[:0:0]
	for _, answer := range a.finished {
		if answer.expiry.After(now) {
			kept = append(kept, answer)
			continue
		}
		a.release(answer)
	}
	a.finished = kept
	for key, answer := range a.answers {
		if answer.finished && !answer.expiry.After(now) {
			delete(a.answers, key)
		}
	}
}
