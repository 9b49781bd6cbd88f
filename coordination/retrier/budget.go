package retrier

// DefaultBurst is the size of a service's retry budget unless an option sets another.
const DefaultBurst = 20

// Budget is an immutable token bucket of retries: requests refill it by a share of a retry each, and a retry takes one.
type Budget struct {
	left  float64
	burst float64
}

// NewBudget returns a full budget of burst retries.
func NewBudget(burst int) Budget { return Budget{left: float64(burst), burst: float64(burst)} }

// Left returns the number of whole retries that are left.
func (b Budget) Left() int { return int(b.left) }

// WithBurst returns the budget with its size set to burst retries; what exceeds it is lost.
func (b Budget) WithBurst(burst int) Budget {
	b.burst = float64(burst)
	b.left = min(b.left, b.burst)
	return b
}

// WithRequest returns the budget refilled by one request, which adds share of a retry.
func (b Budget) WithRequest(share float64) Budget {
	b.left = min(b.left+share, b.burst)
	return b
}

// WithRetry returns the budget less one retry, or the same budget and false if less than one is left.
func (b Budget) WithRetry() (Budget, bool) {
	if b.left < 1 {
		return b, false
	}
	b.left--
	return b, true
}
