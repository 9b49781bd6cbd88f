package attempt

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Incarnation identifies one lifetime of an endpoint process, from its start to its end.
type Incarnation string

// Attempt is one attempt to run a request on one incarnation of an endpoint.
type Attempt struct {
	request      string
	number       int
	service      string
	account      string
	key          string
	endpoint     string
	incarnation  Incarnation
	repeatable   bool
	priority     int
	expiry       time.Time
	deadline     time.Time
	maxQueueWait time.Duration
	alone        bool
	method       string
	path         string
	header       http.Header
	body         []byte
}

// Option sets a field of an Attempt under construction.
type Option func(*Attempt)

// Service sets the service that the request is for.
func Service(name string) Option { return func(a *Attempt) { a.service = name } }

// Account sets the client account that sent the request.
func Account(name string) Option { return func(a *Attempt) { a.account = name } }

// Key sets the caller's idempotency key.
func Key(key string) Option { return func(a *Attempt) { a.key = key } }

// Repeatable sets whether the request may run more than once.
func Repeatable(yes bool) Option { return func(a *Attempt) { a.repeatable = yes } }

// Priority sets the request's priority; a higher one runs first.
func Priority(p int) Option { return func(a *Attempt) { a.priority = p } }

// Number sets the attempt's number among those of its request, from 1.
func Number(n int) Option { return func(a *Attempt) { a.number = n } }

// Deadline sets the time by which the answer must be complete.
func Deadline(t time.Time) Option { return func(a *Attempt) { a.deadline = t } }

// MaxQueueWait sets how long the attempt may wait in its endpoint's queue.
func MaxQueueWait(d time.Duration) Option { return func(a *Attempt) { a.maxQueueWait = d } }

// Alone sets whether the attempt must run with no other attempt on its endpoint.
func Alone(yes bool) Option { return func(a *Attempt) { a.alone = yes } }

// Expiry sets the time after which the attempt must not start.
func Expiry(t time.Time) Option { return func(a *Attempt) { a.expiry = t } }

// To sets the endpoint and the incarnation that may run the attempt.
func To(endpoint string, incarnation Incarnation) Option {
	return func(a *Attempt) { a.endpoint, a.incarnation = endpoint, incarnation }
}

// HTTP sets the request as the engine receives it; the attempt keeps header and body without a copy.
func HTTP(method, path string, header http.Header, body []byte) Option {
	return func(a *Attempt) { a.method, a.path, a.header, a.body = method, path, header, body }
}

// New returns the first attempt of the given request.
func New(request string, options ...Option) Attempt {
	a := Attempt{request: request, number: 1}
	for _, option := range options {
		option(&a)
	}
	return a
}

// Request returns the identifier of the request.
func (a Attempt) Request() string { return a.request }

// Number returns the attempt's number among those of its request, from 1.
func (a Attempt) Number() int { return a.number }

// Service returns the service that the request is for.
func (a Attempt) Service() string { return a.service }

// Account returns the client account that sent the request.
func (a Attempt) Account() string { return a.account }

// Key returns the caller's idempotency key, or an empty string.
func (a Attempt) Key() string { return a.key }

// Endpoint returns the name of the endpoint that may run the attempt.
func (a Attempt) Endpoint() string { return a.endpoint }

// Incarnation returns the incarnation that may run the attempt.
func (a Attempt) Incarnation() Incarnation { return a.incarnation }

// IsRepeatable reports whether the request may run more than once.
func (a Attempt) IsRepeatable() bool { return a.repeatable }

// Priority returns the request's priority; a higher one runs first.
func (a Attempt) Priority() int { return a.priority }

// Expiry returns the time after which the attempt must not start.
func (a Attempt) Expiry() time.Time { return a.expiry }

// Deadline returns the time by which the answer must be complete.
func (a Attempt) Deadline() time.Time { return a.deadline }

// MaxQueueWait returns how long the attempt may wait in its endpoint's queue, 0 if it must not wait.
func (a Attempt) MaxQueueWait() time.Duration { return a.maxQueueWait }

// IsAlone reports whether the attempt must run with no other attempt on its endpoint.
func (a Attempt) IsAlone() bool { return a.alone }

// Method returns the HTTP method.
func (a Attempt) Method() string { return a.method }

// Path returns the path and query as the engine receives them.
func (a Attempt) Path() string { return a.path }

// Header returns the request's headers, which the caller must not change.
func (a Attempt) Header() http.Header { return a.header }

// Body returns the request's body, which the caller must not change.
func (a Attempt) Body() []byte { return a.body }

// ID returns the identifier of this attempt: the request's and the attempt's number.
func (a Attempt) ID() string { return a.request + "#" + strconv.Itoa(a.number) }

// Identity returns the identifier that runs at most once: that of the account's idempotency key for the service if
// there is one, else of this attempt if the request is repeatable, else of the request.
func (a Attempt) Identity() string {
	switch {
	case a.key != "":
		return "key/" + a.account + "/" + a.service + "/" + a.key
	case a.repeatable:
		return "try/" + a.ID()
	default:
		return "request/" + a.request
	}
}

// Digest returns a hash of method, path and body, which detects another request under the same idempotency key.
func (a Attempt) Digest() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(a.method + "\x00" + a.path + "\x00")
	_, _ = d.Write(a.body)
	return d.Sum64()
}

// WithNumber returns the attempt as number n of its request.
func (a Attempt) WithNumber(n int) Attempt {
	a.number = n
	return a
}

// WithTarget returns the attempt for the given incarnation of an endpoint.
func (a Attempt) WithTarget(endpoint string, incarnation Incarnation) Attempt {
	a.endpoint, a.incarnation = endpoint, incarnation
	return a
}
