package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies a limiter's failure.
type Kind string

// KindStopped says that the limiter has stopped.
const KindStopped Kind = "stopped"

// Error is a failed operation of a limiter.
type Error = fault.Error[Kind]

const (
	// shareTimeout is how long a request waits when the entry holds no share for its account and service.
	shareTimeout = 150 * time.Millisecond
	// demandWeight is the weight of the last interval in the moving average of a demand.
	demandWeight = 0.3
	// surgeMargin is a rate in requests per second: a rate of more than twice the average plus surgeMargin replaces the
	// average at once.
	surgeMargin = 3
	// minDemand is the average demand in requests per second below which the usage of a key is discarded.
	minDemand = 0.01
)

// Limiter implements the root package's Limiter for the goroutines that serve traffic; the State belongs to a control
// goroutine, which it reads through snapshots and changes through events.
type Limiter struct {
	snapshot func() State
	send     func(context.Context, Event) error
	now      func() time.Time
	usages   sync.Map
}

// usage is what the goroutines that serve traffic track of one key.
type usage struct {
	mu     sync.Mutex
	bucket Bucket
	// limit is the account's limit over all entries, in requests per second.
	limit float64
	// count is the number of requests since the last call of CollectDemands, refused ones included.
	count int
	// demand is the moving average of the rate, in requests per second.
	demand float64
}

// Option sets a field of a Limiter under construction.
type Option func(*Limiter)

// Now sets the clock.
func Now(now func() time.Time) Option { return func(l *Limiter) { l.now = now } }

// NewLimiter returns a limiter that reads snapshots and sends events.
func NewLimiter(snapshot func() State, send func(context.Context, Event) error, options ...Option) *Limiter {
	l := &Limiter{snapshot: snapshot, send: send, now: time.Now}
	for _, option := range options {
		option(l)
	}
	return l
}

// Take counts one request of a grant's account to a service. It returns true if the account is within its limit or has
// none, else false and how long the caller should wait before a retry. It waits up to shareTimeout for a share if there
// is none.
func (l *Limiter) Take(ctx context.Context, service string, g catalog.Grant) (time.Duration, bool) {
	if g.Limit() == 0 {
		return 0, true
	}
	k := Key{Service: service, Account: g.Account()}
	value, found := l.usages.Load(k)
	if !found {
		value, _ = l.usages.LoadOrStore(k, &usage{bucket: NewBucket()})
	}
	u := value.(*usage)
	rate, has := l.snapshot().Rate(k, l.now())
	if !has {
		rate = l.awaitShare(ctx, k, float64(g.Limit()), u)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.count++
	u.limit = float64(g.Limit())
	var retryAfter time.Duration
	var taken bool
	u.bucket, retryAfter, taken = u.bucket.WithTokenTaken(min(rate, u.limit), l.now())
	return retryAfter, taken
}

// awaitShare requests a share for a key, waits for at most shareTimeout and returns its rate in requests per second, 0
// if none was leased in time.
func (l *Limiter) awaitShare(ctx context.Context, k Key, limit float64, u *usage) float64 {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	u.mu.Lock()
	demand := max(1, u.demand)
	u.mu.Unlock()
	done := make(chan struct{})
	if l.send(ctx, ShareRequested{Demand: Demand{Key: k, Limit: limit, Rate: demand}, At: l.now(), Done: done}) != nil {
		return 0
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	rate, _ := l.snapshot().Rate(k, l.now())
	return rate
}

// CollectDemands returns the average demand for every key in use, and starts a new interval; since is the time that
// passed since the last call. It discards the usage of keys whose demand has fallen below minDemand.
func (l *Limiter) CollectDemands(since time.Duration) []Demand {
	var demands []Demand
	l.usages.Range(func(key, value any) bool {
		u := value.(*usage)
		u.mu.Lock()
		defer u.mu.Unlock()
		rate := float64(u.count) / since.Seconds()
		if rate > 2*u.demand+surgeMargin {
			u.demand = rate
		}
		u.demand += demandWeight * (rate - u.demand)
		u.count = 0
		if u.demand < minDemand {
			l.usages.Delete(key)
			return true
		}
		demands = append(demands, Demand{Key: key.(Key), Limit: u.limit, Rate: u.demand})
		return true
	})
	return demands
}
