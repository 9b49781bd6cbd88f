package catalog

import (
	"maps"
	"slices"
	"time"
)

// Mode is the kind of service: whether its endpoints serve a model.
type Mode string

// The modes of a service.
const (
	ModeModel Mode = "model"
	ModePlain Mode = "plain"
)

// DefaultMaxQueueWait is how long a request may wait in an endpoint's queue if the service's file does not set it.
const DefaultMaxQueueWait = 500 * time.Millisecond

// DefaultRetryShare is the number of retries allowed per request if the service's file does not set it.
const DefaultRetryShare = 0.1

// Grant is the permission of one client account to use a service, with its rate limit and priority.
type Grant struct {
	account  string
	limit    int
	priority int
}

// NewGrant returns a grant to an account; limit is in requests a second over all entries, 0 for no limit, and requests
// with a higher priority run first.
func NewGrant(account string, limit, priority int) Grant {
	return Grant{account: account, limit: limit, priority: priority}
}

// Account returns the client account's name.
func (g Grant) Account() string { return g.account }

// Limit returns the number of requests a second that the account may send over all entries, 0 for no limit.
func (g Grant) Limit() int { return g.limit }

// Priority returns the priority of the account's requests; a higher one runs first.
func (g Grant) Priority() int { return g.priority }

// Service is a service as an operator's file describes it.
type Service struct {
	name         string
	mode         Mode
	pool         string
	source       string
	timeout      time.Duration
	maxQueueWait time.Duration
	retryShare   float64
	repeatable   []string
	grants       map[string]Grant
	skewWeight   int
	freezes      []Freeze
}

// ServiceOption sets a field of a Service under construction.
type ServiceOption func(*Service)

// ServedBy sets the service's mode and the name of its pool of endpoints.
func ServedBy(mode Mode, pool string) ServiceOption {
	return func(s *Service) { s.mode, s.pool = mode, pool }
}

// Source sets the file that describes the service.
func Source(file string) ServiceOption { return func(s *Service) { s.source = file } }

// Timeout sets how long a request may take in total.
func Timeout(d time.Duration) ServiceOption { return func(s *Service) { s.timeout = d } }

// MaxQueueWait sets how long a request may wait in an endpoint's queue.
func MaxQueueWait(d time.Duration) ServiceOption { return func(s *Service) { s.maxQueueWait = d } }

// RetryShare sets the number of retries allowed per request, as a fraction.
func RetryShare(share float64) ServiceOption { return func(s *Service) { s.retryShare = share } }

// Repeatable sets the requests that may run more than once, by method or by a prefix of the form "METHOD /path".
func Repeatable(patterns ...string) ServiceOption {
	return func(s *Service) { s.repeatable = slices.Clone(patterns) }
}

// Grants adds grants to the service.
func Grants(grants ...Grant) ServiceOption {
	return func(s *Service) {
		for _, g := range grants {
			s.grants[g.account] = g
		}
	}
}

// NewService returns the service of the given name.
func NewService(name string, options ...ServiceOption) Service {
	s := Service{name: name, maxQueueWait: DefaultMaxQueueWait, retryShare: DefaultRetryShare, grants: map[string]Grant{}}
	for _, option := range options {
		option(&s)
	}
	return s
}

// Name returns the service's name, which is the first segment of its callers' paths.
func (s Service) Name() string { return s.name }

// Mode returns whether the service's endpoints serve a model.
func (s Service) Mode() Mode { return s.mode }

// Pool returns the name of the service's pool of endpoints.
func (s Service) Pool() string { return s.pool }

// Source returns the file that describes the service.
func (s Service) Source() string { return s.source }

// Timeout returns how long a request may take in total.
func (s Service) Timeout() time.Duration { return s.timeout }

// MaxQueueWait returns how long a request may wait in an endpoint's queue.
func (s Service) MaxQueueWait() time.Duration { return s.maxQueueWait }

// RetryShare returns the number of retries allowed per request, as a fraction.
func (s Service) RetryShare() float64 { return s.retryShare }

// Repeatable returns the patterns of requests that may run more than once: methods and "METHOD /path" prefixes.
func (s Service) Repeatable() []string { return slices.Clone(s.repeatable) }

// Grant returns an account's grant, and false if the account may not use the service.
func (s Service) Grant(account string) (Grant, bool) {
	g, ok := s.grants[account]
	return g, ok
}

// Grants returns all grants, sorted by account name.
func (s Service) Grants() []Grant {
	grants := make([]Grant, 0, len(s.grants))
	for _, account := range slices.Sorted(maps.Keys(s.grants)) {
		grants = append(grants, s.grants[account])
	}
	return grants
}

// WithGrants returns the service with the given grants in place of its own.
func (s Service) WithGrants(grants ...Grant) Service {
	s.grants = make(map[string]Grant, len(grants))
	for _, g := range grants {
		s.grants[g.account] = g
	}
	return s
}

func (s Service) withoutGrants() Service { return s.WithGrants() }

// IsRepeatable reports whether a request with this method and path may run more than once.
func (s Service) IsRepeatable(method, path string) bool {
	for _, pattern := range s.repeatable {
		if pattern == method || hasPrefix(pattern, method, path) {
			return true
		}
	}
	return false
}

func hasPrefix(pattern, method, path string) bool {
	n := len(method)
	if len(pattern) < n+2 || pattern[:n] != method || pattern[n] != ' ' {
		return false
	}
	prefix := pattern[n+1:]
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || prefix[len(prefix)-1] == '/' || rest[0] == '/' || rest[0] == '?'
}
