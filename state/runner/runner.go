package runner

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State says whether a runner takes new work.
type State string

// The states of a runner.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
)

// Runner is the registration of one incarnation of a runner process; a restarted process registers under a new
// identifier.
type Runner struct {
	id             string
	service        string
	address        string
	centre         string
	state          State
	slots          int
	startedAt      int64
	weightsVersion int
	warmAt         time.Duration
}

// Option sets a field of a Runner under construction.
type Option func(*Runner)

// Centre sets the data centre that the runner is in.
func Centre(name string) Option { return func(r *Runner) { r.centre = name } }

// InState sets whether the runner takes new work.
func InState(s State) Option { return func(r *Runner) { r.state = s } }

// Slots sets the number of requests that the runner executes at once.
func Slots(n int) Option { return func(r *Runner) { r.slots = n } }

// StartedAt sets the start time of the runner in Unix milliseconds, 0 if unknown.
func StartedAt(ms int64) Option { return func(r *Runner) { r.startedAt = ms } }

// WeightsVersion sets the version of the model weights that the runner serves, 0 if unknown.
func WeightsVersion(version int) Option { return func(r *Runner) { r.weightsVersion = version } }

// New returns a runner of a service at an IP address and port, ready unless an option says otherwise.
func New(id, service, address string, options ...Option) Runner {
	r := Runner{id: id, service: service, address: address, state: StateReady}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Key returns a 32-bit hash of an identifier, which heartbeats carry in its place. Two runners may share one, which
// only makes the counts of their work less accurate.
func Key(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// WithState returns the runner in another state.
func (r Runner) WithState(s State) Runner {
	r.state = s
	return r
}

// WithWarmAt returns the runner with the time at which it is warm, on the clock of the process that read the registration, 0 if it does
// not say that it is cold.
func (r Runner) WithWarmAt(at time.Duration) Runner {
	r.warmAt = at
	return r
}

// IncarnationKey returns a 32-bit hash of an identifier and a start time in Unix milliseconds, 0 if unknown, which tells the
// starts of a runner under one identifier apart.
func IncarnationKey(id string, startedAt int64) uint32 {
	if startedAt == 0 {
		return Key(id)
	}
	return Key(id + "/" + strconv.FormatInt(startedAt, 10))
}

// ID returns the identifier of this incarnation.
func (r Runner) ID() string { return r.id }

// Service returns the name of the service that the runner belongs to.
func (r Runner) Service() string { return r.service }

// Address returns the IP address and port at which the runner takes requests.
func (r Runner) Address() string { return r.address }

// Centre returns the data centre that the runner is in.
func (r Runner) Centre() string { return r.centre }

// IsReady reports whether the runner takes new work.
func (r Runner) IsReady() bool { return r.state == StateReady }

// Slots returns the number of requests that the runner executes at once.
func (r Runner) Slots() int { return r.slots }

// StartedAt returns the start time of the runner in Unix milliseconds, 0 if unknown.
func (r Runner) StartedAt() int64 { return r.startedAt }

// WeightsVersion returns the version of the model weights that the runner serves, 0 if unknown.
func (r Runner) WeightsVersion() int { return r.weightsVersion }

// ColdLeft returns for how long the runner stays cold by its registration, 0 if it is warm.
func (r Runner) ColdLeft(now time.Duration) time.Duration { return max(0, r.warmAt-now) }
