package routing

import "time"

// Engine says how fast a service's runners work and how their experts are laid out.
type Engine struct {
	// Slots is how many requests a runner works on at once.
	Slots int
	// Step is the time of one token step without any work.
	Step time.Duration
	// Writing is what each request that is writing adds to a step.
	Writing time.Duration
	// Context is what each thousand tokens of context of such a request add to a step.
	Context time.Duration
	// Reading is how many prompt tokens are read in a second.
	Reading float64
	// Stride is how many steps a pass with writers makes.
	Stride int
	// ExpertShare is the share of the work for tokens that experts do.
	ExpertShare float64
	// Sets, Experts and Places are the sets of layers, the experts of each, and how many of them a rank can hold.
	Sets, Experts, Places int
	// Spare is how many experts of a set a rank can take in at once.
	Spare int
	// Copy is the time that the copying of one expert takes.
	Copy time.Duration
	// Form is the time that a group needs to open again when all its ranks are back.
	Form time.Duration
}

// HasExperts reports whether the service's runners are ranks that share experts.
func (e Engine) HasExperts() bool { return e.Sets > 0 && e.Experts > 0 }

// Service is a set of runners that answer the same requests.
type Service struct {
	name        string
	connections int
	engine      Engine
}

// NewService returns a service whose runners each take a number of connections, 0 for any, and work as engine says.
func NewService(name string, connections int, engine Engine) Service {
	return Service{name: name, connections: connections, engine: engine}
}

// Name returns the service's name.
func (s Service) Name() string { return s.name }

// Connections returns how many connections each runner takes from all callers together, 0 for any number.
func (s Service) Connections() int { return s.connections }

// Engine returns how the runners work, which is empty for plain services.
func (s Service) Engine() Engine { return s.engine }

// Limits bound what callers may send.
type Limits struct {
	// Header and Body are the most bytes of a request's header and body.
	Header int
	Body   int64
	// HeaderTime is how long a caller may take for the header, IdleTime how long a connection may be idle.
	HeaderTime, IdleTime time.Duration
}

// Account is a client account.
type Account struct {
	name     string
	priority int
	ranked   bool
}

// NewAccount returns an account without a priority of its own.
func NewAccount(name string) Account { return Account{name: name} }

// WithPriority returns the account with a priority that goes before that of routes.
func (a Account) WithPriority(p int) Account {
	a.priority, a.ranked = p, true
	return a
}

// Name returns the account's name.
func (a Account) Name() string { return a.name }

// Priority returns the rank of the account's requests on a route; 0 is the most urgent.
func (a Account) Priority(r Route) int {
	if a.ranked {
		return a.priority
	}
	return r.Priority()
}
