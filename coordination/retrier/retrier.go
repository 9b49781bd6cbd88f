package retrier

import (
	"sync"

	"github.com/kingcupstile/kingcupstile/coordination/admitter"
	"github.com/kingcupstile/kingcupstile/coordination/keeper"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/ledger"
)

// Retrier implements the root package's Retrier with a budget for each service.
type Retrier struct {
	burst   func() int
	budgets sync.Map
}

// shared is the budget that a service's requests share.
type shared struct {
	mu     sync.Mutex
	budget Budget
}

// Option sets a field of a Retrier under construction.
type Option func(*Retrier)

// Burst sets how many retries a service may save up.
func Burst(n int) Option { return Bursts(func() int { return n }) }

// Bursts sets how many retries a service may save up at any moment, which changes where entries share a bound.
func Bursts(f func() int) Option { return func(r *Retrier) { r.burst = f } }

// New returns a retrier whose budgets are full.
func New(options ...Option) *Retrier {
	r := &Retrier{burst: func() int { return DefaultBurst }}
	for _, option := range options {
		option(r)
	}
	return r
}

// Sent counts the first attempt of a request of a service whose retries may be the given share of its requests.
func (r *Retrier) Sent(service string, share float64) {
	s := r.of(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget = s.budget.WithBurst(r.burst()).WithRequest(share)
}

// Allow reports whether a request of a service may be sent again after an attempt failed for a reason.
func (r *Retrier) Allow(service, reason string) bool {
	switch {
	case IsOverload(reason):
		return false
	case isFree(reason):
		return true
	}
	s := r.of(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	var allowed bool
	s.budget, allowed = s.budget.WithRetry()
	return allowed
}

func (r *Retrier) of(service string) *shared {
	value, found := r.budgets.Load(service)
	if !found {
		value, _ = r.budgets.LoadOrStore(service, &shared{budget: NewBudget(r.burst())})
	}
	return value.(*shared)
}

// IsOverload reports whether a reason says that there is more work than can be done in time, or that the time is over.
func IsOverload(reason string) bool {
	switch reason {
	case string(admitter.ReasonOverload), string(ledger.KindFull), string(ledger.KindExpired), attempt.ReasonLate:
		return true
	}
	return false
}

// isFree reports whether a refusal cost its endpoint nothing and says that others may take the request.
func isFree(reason string) bool {
	switch reason {
	case string(keeper.KindLeaving), string(admitter.ReasonIsolating), string(ledger.KindIncarnation):
		return true
	}
	return false
}
