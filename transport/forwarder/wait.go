package forwarder

import (
	"context"
	"time"
)

// minWork is how long a request and its answer take at least: the way to a runner and back, and to the caller.
const minWork = 10 * time.Millisecond

// promptTime returns how long a runner of a service takes at least to read a prompt.
func (f *Forwarder) promptTime(service string, tokens int) time.Duration {
	table, _ := f.snapshot().Table()
	s, _ := table.Service(service)
	if rate := s.Engine().PrefillRate; rate > 0 {
		return time.Duration(float64(tokens) / rate * float64(time.Second))
	}
	return 0
}

// latestStart returns when a runner must begin to work at the latest for the caller to get its answer: callers leave at the end of
// the request's time, and those of streams when they got no event for long.
func (x *exchange) latestStart() time.Duration {
	work := x.forwarder.estimates.Work(x.kind)
	begin := max(minWork, work.Begin.Most()+x.promptTime)
	whole := begin
	if x.lastEvent == 0 {
		whole = max(begin, work.Whole.Mean())
	}
	latest := x.arrivedAt + x.timeout - whole
	if patience := x.access.route.Patience(); patience > 0 {
		latest = min(latest, max(x.arrivedAt, x.lastEventAt)+patience-begin)
	}
	return latest
}

// untilRefusing returns a context that ends with ctx, and when the process is about to end and refuses what it has not sent.
func (f *Forwarder) untilRefusing(ctx context.Context) (waiting context.Context, stop func()) {
	waiting, cancel := context.WithCancel(ctx)
	remove := context.AfterFunc(f.refusing, cancel)
	return waiting, func() {
		remove()
		cancel()
	}
}
