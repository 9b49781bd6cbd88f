package executor

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

const (
	// CopyTimeout bounds Execute, above all the wait for a rank to copy a map: a dozen experts take a second.
	CopyTimeout = 2500 * time.Millisecond
	// reportInterval is how often a rank that copies a map is polled; polling is free on the rank's own VM.
	reportInterval = 15 * time.Millisecond
)

// Execute gives an order and returns the rank's report after it. For an order to prepare a map, it polls the rank until
// the map is copied, the group has another epoch, or CopyTimeout has passed. If the order is not known to have begun,
// Failure says why; a rank may still execute an order that it did not answer, and the report tells whether it did. The
// errors are those of reading the report or the holdings.
func Execute(ctx context.Context, w kingcupstile.Worker, o rank.Order) (rank.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, CopyTimeout)
	defer cancel()
	failure := w.SendOrder(ctx, o)
	for {
		r, err := w.Report(ctx)
		if err != nil {
			return rank.OrderResult{}, err
		}
		result := rank.OrderResult{Report: r, Err: failure}
		switch {
		case o.Verb == rank.VerbPrepare && r.PreparedVersion == o.Version:
			return verified(ctx, w, o, result)
		case o.Verb != rank.VerbPrepare, r.Epoch != o.Epoch, failure != nil:
			return result, nil
		}
		timer := time.NewTimer(reportInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return result, nil
		}
	}
}

// verified returns the result with Whole set if the rank holds exactly the experts that the ordered map gives it.
func verified(ctx context.Context, w kingcupstile.Worker, o rank.Order, result rank.OrderResult) (rank.OrderResult, error) {
	h, err := w.Holdings(ctx)
	if err != nil {
		return rank.OrderResult{}, err
	}
	if h.PreparedVersion == o.Version && o.Layout.HasExperts(result.Report.Rank, h.Copied) {
		result.VerifiedVersion = o.Version
	}
	return result, nil
}

// Executor executes the orders of one rank; it implements the root package's Executor.
type Executor struct{ kingcupstile.Worker }

// New returns an executor of orders to the rank that w reaches.
func New(w kingcupstile.Worker) Executor { return Executor{Worker: w} }

// Execute gives an order and returns the rank's report after it, as Execute does.
func (e Executor) Execute(ctx context.Context, o rank.Order) (rank.OrderResult, error) {
	return Execute(ctx, e.Worker, o)
}

// ExecuteDirect does the same as Execute, as this executor already reaches the rank itself.
func (e Executor) ExecuteDirect(ctx context.Context, o rank.Order) (rank.OrderResult, error) {
	return Execute(ctx, e.Worker, o)
}
