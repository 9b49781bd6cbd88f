package routing

import "time"

// Repeat says whether a request may be executed more than once.
type Repeat string

// The kinds of request: safe ones may be repeated, unsafe ones may not, and streams may if their route is resumable.
const (
	RepeatSafe   Repeat = "safe"
	RepeatUnsafe Repeat = "unsafe"
	RepeatStream Repeat = "stream"
)

// Share is the weight with which a service gets a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route maps the requests for a host and path prefix to services, with their time limits and priority.
type Route struct {
	name        string
	host        string
	prefix      string
	repeat      Repeat
	timeout     time.Duration
	maxEventGap time.Duration
	patience    time.Duration
	priority    int
	attempts    int
	public      bool
	resumable   bool
	shares      []Share
}

// RouteOption sets a field of a Route under construction.
type RouteOption func(*Route)

// Timeout sets the longest time that a caller is kept waiting.
func Timeout(d time.Duration) RouteOption { return func(r *Route) { r.timeout = d } }

// MaxEventGap sets the longest time between two events of a stream that still counts as on time.
func MaxEventGap(d time.Duration) RouteOption { return func(r *Route) { r.maxEventGap = d } }

// Patience sets how long callers of a stream wait for the next event, the first one included, before they leave.
func Patience(d time.Duration) RouteOption { return func(r *Route) { r.patience = d } }

// Priority sets the priority of the route's requests; 0 is the most urgent.
func Priority(p int) RouteOption { return func(r *Route) { r.priority = p } }

// Attempts sets the number of runners that one request may be sent to, the first included.
func Attempts(n int) RouteOption { return func(r *Route) { r.attempts = n } }

// Public sets whether requests on the route need no key.
func Public(public bool) RouteOption { return func(r *Route) { r.public = public } }

// Resumable sets whether another runner may continue a stream after its last complete event.
func Resumable(resumable bool) RouteOption { return func(r *Route) { r.resumable = resumable } }

// Shares sets the services that the requests are split between, by weight.
func Shares(s ...Share) RouteOption { return func(r *Route) { r.shares = s } }

// NewRoute returns a route for the paths of a host that begin with prefix, with one attempt unless an option says
// otherwise.
func NewRoute(name, host, prefix string, repeat Repeat, options ...RouteOption) Route {
	r := Route{name: name, host: host, prefix: prefix, repeat: repeat, attempts: 1}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Name returns the route's name.
func (r Route) Name() string { return r.name }

// Host returns the host that the route matches.
func (r Route) Host() string { return r.host }

// Prefix returns the path prefix that the route matches.
func (r Route) Prefix() string { return r.prefix }

// Timeout returns the longest time that a caller is kept waiting, 0 if unbounded.
func (r Route) Timeout() time.Duration { return r.timeout }

// MaxEventGap returns the longest time between two events of a stream that still counts as on time, 0 if there is no
// such limit.
func (r Route) MaxEventGap() time.Duration { return r.maxEventGap }

// Patience returns how long callers wait for the next event of a stream, the first one included, before they leave; 0 if they
// wait as long as for any answer.
func (r Route) Patience() time.Duration { return r.patience }

// Priority returns the priority of the route's requests; 0 is the most urgent.
func (r Route) Priority() int { return r.priority }

// Attempts returns the number of runners that one request may be sent to, the first included.
func (r Route) Attempts() int { return r.attempts }

// Repeat says whether a request may be executed more than once.
func (r Route) Repeat() Repeat { return r.repeat }

// Shares returns the services that the requests are split between, which the caller must not change.
func (r Route) Shares() []Share { return r.shares }

// IsPublic reports whether requests need no key.
func (r Route) IsPublic() bool { return r.public }

// IsStream reports whether answers are streams of events.
func (r Route) IsStream() bool { return r.repeat == RepeatStream }

// IsRepeatable reports whether a request may be executed more than once.
func (r Route) IsRepeatable() bool {
	return r.repeat == RepeatSafe || r.repeat == RepeatStream && r.resumable
}

// IsResumable reports whether the route is for streams that another runner may continue.
func (r Route) IsResumable() bool { return r.repeat == RepeatStream && r.resumable }

// Service returns the service for a request, chosen by weight, given a uniform random number in [0, 1), and false if
// there is none.
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
