package executor

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

const (
	// CopyTimeout is how long the copying of a map is waited for: a dozen experts take a second.
	CopyTimeout = 2500 * time.Millisecond
	// lookEvery is how often a rank that copies is asked, which is free on its own VM.
	lookEvery = 15 * time.Millisecond
)

// Carry gives an order and returns how the rank is after it: at once, or once a map was copied whole. An order without
// an answer may be carried out later; the report says whether it was.
func Carry(ctx context.Context, w kingcupstile.Worker, o rank.Order) (rank.Carried, error) {
	ctx, cancel := context.WithTimeout(ctx, CopyTimeout)
	defer cancel()
	given := w.Give(ctx, o)
	for {
		r, err := w.Report(ctx)
		if err != nil {
			return rank.Carried{}, err
		}
		done := rank.Carried{Report: r, Failure: given}
		switch {
		case o.Verb == rank.VerbPrepare && r.Prepared == o.Version:
			return whole(ctx, w, o, done)
		case o.Verb != rank.VerbPrepare, r.Epoch != o.Epoch, given != nil:
			return done, nil
		}
		timer := time.NewTimer(lookEvery)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return done, nil
		}
	}
}

// whole returns what was carried out with whether the rank holds its part of the map as ordered.
func whole(ctx context.Context, w kingcupstile.Worker, o rank.Order, done rank.Carried) (rank.Carried, error) {
	h, err := w.Holdings(ctx)
	if err != nil {
		return rank.Carried{}, err
	}
	if h.Prepared == o.Version && o.Map.Holds(done.Report.Rank, h.Copied) {
		done.Whole = o.Version
	}
	return done, nil
}

// Executor sees to the orders of one rank; it implements the root package's Executor.
type Executor struct{ kingcupstile.Worker }

// New returns what sees to a rank's orders.
func New(w kingcupstile.Worker) Executor { return Executor{Worker: w} }

// Carry gives an order and sees to it.
func (e Executor) Carry(ctx context.Context, o rank.Order) (rank.Carried, error) {
	return Carry(ctx, e.Worker, o)
}

// Direct gives an order and sees to it.
func (e Executor) Direct(ctx context.Context, o rank.Order) (rank.Carried, error) {
	return Carry(ctx, e.Worker, o)
}
