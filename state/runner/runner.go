package runner

import "github.com/cespare/xxhash/v2"

// State says whether a runner takes new work.
type State string

// The states of a runner.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
)

// Runner is one incarnation of a back end, as it registered itself.
type Runner struct {
	id      string
	service string
	address string
	centre  string
	state   State
	slots   int
	born    int64
	weights int
}

// Option sets a field of a Runner under construction.
type Option func(*Runner)

// Centre sets the data centre that the runner is in.
func Centre(name string) Option { return func(r *Runner) { r.centre = name } }

// InState sets whether the runner takes new work.
func InState(s State) Option { return func(r *Runner) { r.state = s } }

// Slots sets how many requests the runner works on at once.
func Slots(n int) Option { return func(r *Runner) { r.slots = n } }

// Born sets the Unix millisecond of the runner's start.
func Born(ms int64) Option { return func(r *Runner) { r.born = ms } }

// Weights sets the version of the model weights that the runner serves, 0 if unknown.
func Weights(version int) Option { return func(r *Runner) { r.weights = version } }

// New returns a ready runner of a service at an IP address and port.
func New(id, service, address string, options ...Option) Runner {
	r := Runner{id: id, service: service, address: address, state: StateReady}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Key returns a short key for an identifier; two runners may share one, which only blurs the counts of their work.
func Key(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// ID returns what names this incarnation.
func (r Runner) ID() string { return r.id }

// Service returns the service that the runner answers for.
func (r Runner) Service() string { return r.service }

// Address returns the IP address and port at which the runner takes requests.
func (r Runner) Address() string { return r.address }

// Centre returns the data centre that the runner is in.
func (r Runner) Centre() string { return r.centre }

// IsReady reports whether the runner takes new work.
func (r Runner) IsReady() bool { return r.state == StateReady }

// Slots returns how many requests the runner works on at once.
func (r Runner) Slots() int { return r.slots }

// Born returns the Unix millisecond of the runner's start, 0 if unknown.
func (r Runner) Born() int64 { return r.born }

// Weights returns the version of the model weights that the runner serves, 0 if unknown.
func (r Runner) Weights() int { return r.weights }
