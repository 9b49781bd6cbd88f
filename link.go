package kingcupstile

import (
	"context"

	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// FrameReader reads the frames of an attempt's answer in order.
type FrameReader interface {
	// Next waits for the next frame; its error means that the stream ended before the last frame.
	Next(ctx context.Context) (attempt.Frame, error)
	// HasBuffered reports whether another frame, or the first part of one, has been received but not read yet.
	HasBuffered() bool
	// Close releases the stream and its connection.
	Close() error
}

// Link sends attempts to endpoints.
type Link interface {
	// Run sends an attempt and returns its answer; an Error of KindUnavailable means that no part of it was sent.
	Run(ctx context.Context, a attempt.Attempt) (FrameReader, error)
	// Resume reads the answer of an attempt that was sent before, from the frame at offset on.
	Resume(ctx context.Context, a attempt.Attempt, offset uint64) (FrameReader, error)
	// Settle tells the attempt's incarnation never to start it, and returns the outcome that is certain after that.
	Settle(ctx context.Context, a attempt.Attempt) (attempt.Outcome, error)
}
