package answerer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/kingcupstile/kingcupstile/coordination/admitter"
	"github.com/kingcupstile/kingcupstile/state/attempt"
)

// stopwatch measures the latency of one answer and of its pieces.
type stopwatch struct {
	start  time.Time
	first  time.Time
	last   time.Time
	pieces int
}

func newStopwatch() *stopwatch { return &stopwatch{start: time.Now()} }

// recordFrame notes the arrival of a frame; the head, which has a status, is no piece of the answer.
func (s *stopwatch) recordFrame(f attempt.Frame) {
	if f.Status() != 0 {
		return
	}
	s.last = time.Now()
	if s.pieces == 0 {
		s.first = s.last
	}
	s.pieces++
}

// sample returns the answer's latency, or an empty sample if the answer failed before its deadline.
func (s *stopwatch) sample(err error) admitter.Sample {
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return admitter.Sample{}
	}
	total := time.Since(s.start)
	if s.pieces == 0 {
		return admitter.Sample{TimeToFirstByte: total, Total: total}
	}
	sample := admitter.Sample{TimeToFirstByte: s.first.Sub(s.start), Total: total}
	if s.pieces > 1 {
		sample.MeanGap = s.last.Sub(s.first) / time.Duration(s.pieces-1)
	}
	return sample
}
