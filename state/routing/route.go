package routing

import "time"

// Repeat says what may be sent to a runner more than once.
type Repeat string

// The kinds of request by what may be repeated.
const (
	RepeatSafe   Repeat = "safe"
	RepeatUnsafe Repeat = "unsafe"
	RepeatStream Repeat = "stream"
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route says where the requests of a host and path prefix go, and under which bounds.
type Route struct {
	name      string
	host      string
	prefix    string
	repeat    Repeat
	timeout   time.Duration
	goal      time.Duration
	gap       time.Duration
	priority  int
	attempts  int
	public    bool
	resumable bool
	shares    []Share
}

// RouteOption sets a field of a Route under construction.
type RouteOption func(*Route)

// Timeout sets the longest time that a caller is kept waiting.
func Timeout(d time.Duration) RouteOption { return func(r *Route) { r.timeout = d } }

// Goal sets the time within which an answer, or a stream's first event, earns its full credit.
func Goal(d time.Duration) RouteOption { return func(r *Route) { r.goal = d } }

// Gap sets the longest pause between two events of a stream that is in time.
func Gap(d time.Duration) RouteOption { return func(r *Route) { r.gap = d } }

// Priority sets the route's rank; 0 is the most urgent.
func Priority(p int) RouteOption { return func(r *Route) { r.priority = p } }

// Attempts sets to how many runners one request may be sent.
func Attempts(n int) RouteOption { return func(r *Route) { r.attempts = n } }

// Public marks a route that needs no key.
func Public(yes bool) RouteOption { return func(r *Route) { r.public = yes } }

// Resumable marks streams that another runner may continue after the last whole event.
func Resumable(yes bool) RouteOption { return func(r *Route) { r.resumable = yes } }

// Shares sets the services that answer, by weight.
func Shares(s ...Share) RouteOption { return func(r *Route) { r.shares = s } }

// NewRoute returns a route for paths of a host that begin with prefix.
func NewRoute(name, host, prefix string, repeat Repeat, options ...RouteOption) Route {
	r := Route{name: name, host: host, prefix: prefix, repeat: repeat, attempts: 1}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Host returns the host whose requests the route takes.
func (r Route) Host() string { return r.host }

// Prefix returns what the paths begin with.
func (r Route) Prefix() string { return r.prefix }

// Timeout returns the longest time that a caller is kept waiting, 0 if unbounded.
func (r Route) Timeout() time.Duration { return r.timeout }

// Goal returns the time within which an answer earns its full credit.
func (r Route) Goal() time.Duration { return r.goal }

// Gap returns the longest pause between two events of a stream that is in time.
func (r Route) Gap() time.Duration { return r.gap }

// Priority returns the route's rank; 0 is the most urgent.
func (r Route) Priority() int { return r.priority }

// Attempts returns to how many runners one request may be sent.
func (r Route) Attempts() int { return r.attempts }

// IsPublic reports whether requests need no key.
func (r Route) IsPublic() bool { return r.public }

// IsStream reports whether answers are streams of events.
func (r Route) IsStream() bool { return r.repeat == RepeatStream }

// IsRepeatable reports whether a request may run more than once.
func (r Route) IsRepeatable() bool {
	return r.repeat == RepeatSafe || r.repeat == RepeatStream && r.resumable
}

// IsResumable reports whether another runner may continue a stream.
func (r Route) IsResumable() bool { return r.repeat == RepeatStream && r.resumable }

// Service returns the service for a request, given a number drawn evenly from 0 to 1, and false if there is none.
func (r Route) Service(draw float64) (string, bool) {
	total := 0
	for _, s := range r.shares {
		total += max(0, s.Weight)
	}
	at := int(draw * float64(total))
	for _, s := range r.shares {
		if at < s.Weight {
			return s.Service, true
		}
		at -= max(0, s.Weight)
	}
	return "", false
}
