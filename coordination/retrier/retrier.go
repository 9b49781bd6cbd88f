package retrier

import (
	"sync"

	"github.com/kingcupstile/kingcupstile/coordination/admitter"
	"github.com/kingcupstile/kingcupstile/coordination/keeper"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/ledger"
)

// Retrier implements kingcupstile.Retrier with a retry budget per service; it is safe for concurrent use.
type Retrier struct {
	burst   func() int
	budgets sync.Map
}

// serviceBudget is the budget that all requests for one service share.
type serviceBudget struct {
	mu     sync.Mutex
	budget Budget
}

// Option sets a field of a Retrier under construction.
type Option func(*Retrier)

// Burst sets the size of each service's budget in retries.
func Burst(n int) Option { return BurstFunc(func() int { return n }) }

// BurstFunc sets a function that returns the current size of each service's budget; the size changes where entries
// divide a common bound among themselves.
func BurstFunc(f func() int) Option { return func(r *Retrier) { r.burst = f } }

// New returns a retrier; the budget of each service starts full.
func New(options ...Option) *Retrier {
	r := &Retrier{burst: func() int { return DefaultBurst }}
	for _, option := range options {
		option(r)
	}
	return r
}

// RecordRequest counts the first attempt of a request for a service and refills the service's budget by share of a retry.
func (r *Retrier) RecordRequest(service string, share float64) {
	s := r.budgetOf(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget = s.budget.WithBurst(r.burst()).WithRequest(share)
}

// Allow reports whether a request for a service may be retried after an attempt failed for the given reason; an allowed
// retry is taken from the service's budget unless its reason is exempt.
func (r *Retrier) Allow(service, reason string) bool {
	switch {
	case IsOverload(reason):
		return false
	case isExempt(reason):
		return true
	}
	s := r.budgetOf(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	var allowed bool
	s.budget, allowed = s.budget.WithRetry()
	return allowed
}

func (r *Retrier) budgetOf(service string) *serviceBudget {
	value, found := r.budgets.Load(service)
	if !found {
		value, _ = r.budgets.LoadOrStore(service, &serviceBudget{budget: NewBudget(r.burst())})
	}
	return value.(*serviceBudget)
}

// IsOverload reports whether a reason means that the endpoint is overloaded or that the attempt's time is over.
func IsOverload(reason string) bool {
	switch reason {
	case string(admitter.ReasonOverload), string(ledger.KindFull), string(ledger.KindExpired), attempt.ReasonTimeout:
		return true
	}
	return false
}

// isExempt reports whether a retry after this reason takes nothing from the budget: the refusal cost the endpoint
// nothing, and other endpoints may accept the request.
func isExempt(reason string) bool {
	switch reason {
	case string(keeper.KindLeaving), string(admitter.ReasonIsolating), string(ledger.KindOtherIncarnation):
		return true
	}
	return false
}
