package forwarder

import "time"

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
	begin := work.Begin.Most() + x.promptTime
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
