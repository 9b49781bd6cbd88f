package retrier

// DefaultBurst is how many retries a service may save up.
const DefaultBurst = 20

// Budget is what a service has left for retries.
type Budget struct {
	left  float64
	burst float64
}

// NewBudget returns a full budget that holds at most burst retries.
func NewBudget(burst int) Budget { return Budget{left: float64(burst), burst: float64(burst)} }

// Left returns how many retries are left.
func (b Budget) Left() int { return int(b.left) }

// WithBurst returns the budget with room for another number of retries.
func (b Budget) WithBurst(burst int) Budget {
	b.burst = float64(burst)
	b.left = min(b.left, b.burst)
	return b
}

// WithRequest returns the budget after one more request, which adds a share of a retry.
func (b Budget) WithRequest(share float64) Budget {
	b.left = min(b.left+share, b.burst)
	return b
}

// WithRetry returns the budget after a retry, and whether there was enough left for it.
func (b Budget) WithRetry() (Budget, bool) {
	if b.left < 1 {
		return b, false
	}
	b.left--
	return b, true
}
