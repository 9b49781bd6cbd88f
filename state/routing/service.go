package routing

import "time"

// Engine describes the speed of a service's runners and their capacity for experts.
type Engine struct {
	// Slots is the number of requests that a runner executes at once.
	Slots int
	// StepTime is the fixed time of one token step, without any work in it.
	StepTime time.Duration
	// DecodeTime is what each request that generates tokens adds to a step.
	DecodeTime time.Duration
	// ContextTime is what each thousand tokens of context of such a request add to a step.
	ContextTime time.Duration
	// PrefillRate is the number of prompt tokens processed per second.
	PrefillRate float64
	// ChunkTokens is the most prompt tokens that are processed in one step, 0 if not known.
	ChunkTokens int
	// StepsPerPass is the number of steps in a pass in which requests generate tokens.
	StepsPerPass int
	// ExpertShare is the share, from 0 to 1, of the work for a token that experts do.
	ExpertShare float64
	// Sets is the number of sets of layers, Experts the number of experts in each set, and Places how many experts of a
	// set a rank can hold.
	Sets, Experts, Places int
	// Spare is how many experts of a set a rank can load in one change of layout.
	Spare int
	// CopyTime is the time to copy one expert to a rank.
	CopyTime time.Duration
	// FormTime is the time that a group takes to open again once all its ranks are back.
	FormTime time.Duration
}

// PassTime returns how long a pass takes without any work in it.
func (e Engine) PassTime() time.Duration { return time.Duration(e.StepsPerPass) * e.StepTime }

// ReadTime returns by how much a pass that also reads prompts is longer, at most; 0 if that is not known.
func (e Engine) ReadTime() time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(e.StepsPerPass*e.ChunkTokens) / e.PrefillRate * float64(time.Second))
}

// HasExperts reports whether the service's runners are ranks of groups that distribute experts among them.
func (e Engine) HasExperts() bool { return e.Sets > 0 && e.Experts > 0 }

// Cold describes the runners of a service that were started lately.
type Cold struct {
	// PerSecond is how many requests a second a cold runner can bear, 0 if that is not known.
	PerSecond float64
	// Period is how long a runner is cold after it starts, 0 if that is not known.
	Period time.Duration
}

// Service is a set of runners that answer the same requests.
type Service struct {
	name        string
	connections int
	engine      Engine
	cold        Cold
	healthPath  string
	delays      []Delay
}

// Delay is the delay of the link from one data centre to another.
type Delay struct {
	From, Target string
	Delay        time.Duration
}

// NewService returns a service whose runners each accept a number of connections, 0 for any number, and perform as
// engine describes.
func NewService(name string, connections int, engine Engine) Service {
	return Service{name: name, connections: connections, engine: engine}
}

// WithDelays returns the service with the delays of the links between the data centres that its runners are in.
func (s Service) WithDelays(delays ...Delay) Service {
	s.delays = delays
	return s
}

// RoundTrip returns how long the way between two data centres and back takes, 0 if that is not known. Of a link whose other direction
// is not given, both take as long.
func (s Service) RoundTrip(from, target string) time.Duration {
	there, hasThere := s.delay(from, target)
	back, hasBack := s.delay(target, from)
	switch {
	case !hasThere:
		return 2 * back
	case !hasBack:
		return 2 * there
	}
	return there + back
}

func (s Service) delay(from, target string) (time.Duration, bool) {
	for _, d := range s.delays {
		if d.From == from && d.Target == target {
			return max(0, d.Delay), true
		}
	}
	return 0, false
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Connections returns how many connections each runner accepts from all callers together, 0 for any number.
func (s Service) Connections() int { return s.connections }

// Engine returns the performance of the runners, the zero value for services that do not describe it.
func (s Service) Engine() Engine { return s.engine }

// DefaultMaxBodyBytes is the largest body in bytes where the configuration sets no limit.
const DefaultMaxBodyBytes = 16 << 20

// WithCold returns the service with what cold runners can bear.
func (s Service) WithCold(c Cold) Service {
	s.cold = c
	return s
}

// Cold returns what cold runners can bear, the zero value if that is not known.
func (s Service) Cold() Cold { return s.cold }

// WithHealthPath returns the service with the path at which its runners answer health checks.
func (s Service) WithHealthPath(path string) Service {
	s.healthPath = path
	return s
}

// HealthPath returns the path at which runners answer health checks, empty if that is not known.
func (s Service) HealthPath() string { return s.healthPath }

// Limits bounds the size and duration of callers' requests.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the largest sizes of a request's header and body, in bytes.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to read a request's header, IdleTimeout the time that a connection may be idle.
	HeaderTimeout, IdleTimeout time.Duration
}

// Account is a client account.
type Account struct {
	name        string
	priority    int
	hasPriority bool
}

// NewAccount returns an account without a priority of its own.
func NewAccount(name string) Account { return Account{name: name} }

// WithPriority returns the account with a priority that overrides that of routes.
func (a Account) WithPriority(p int) Account {
	a.priority, a.hasPriority = p, true
	return a
}

// Name returns the account's name.
func (a Account) Name() string { return a.name }

// Priority returns the priority of the account's requests on a route: the account's own if it has one, else the
// route's. 0 is the most urgent.
func (a Account) Priority(r Route) int {
	if a.hasPriority {
		return a.priority
	}
	return r.Priority()
}

// routePriorities is how many priorities of routes are told apart among requests of the same priority.
const routePriorities = 100

// Urgency orders the requests of accounts and routes, the most urgent first: by Priority, and among requests whose accounts have the
// same one, by that of the route. Without the second, an account's own priority would make all of its requests equally urgent.
func (a Account) Urgency(r Route) int {
	return a.Priority(r)*routePriorities + min(max(r.Priority(), 0), routePriorities-1)
}
