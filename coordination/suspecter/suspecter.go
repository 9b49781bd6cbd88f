package suspecter

import (
	"context"
	"time"

	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// Kind classifies a suspecter's failure.
type Kind string

// KindInvalid says that a table cannot be decoded from its stored form, or encoded.
const KindInvalid Kind = "invalid"

// Error is a failed operation on the table of suspects.
type Error = fault.Error[Kind]

// Suspecter implements the root package's Suspecter for the goroutines that serve traffic; the State belongs to a
// control goroutine, which it reads through snapshots and changes through events.
type Suspecter struct {
	snapshot func() State
	send     func(context.Context, Event) error
	now      func() time.Time
}

// Option sets a field of a Suspecter under construction.
type Option func(*Suspecter)

// Now sets the clock.
func Now(now func() time.Time) Option { return func(s *Suspecter) { s.now = now } }

// NewSuspecter returns a suspecter that reads snapshots and sends events.
func NewSuspecter(snapshot func() State, send func(context.Context, Event) error, options ...Option) *Suspecter {
	s := &Suspecter{snapshot: snapshot, send: send, now: time.Now}
	for _, option := range options {
		option(s)
	}
	return s
}

// Check returns how a request may run, and its record; it calls identify only if the table holds any record, which
// saves hashing the request.
func (s *Suspecter) Check(identify func() suspect.Fingerprint) (suspect.Verdict, suspect.Record) {
	table := s.snapshot().Table()
	if table.Len() == 0 {
		return suspect.VerdictClear, suspect.Record{}
	}
	return table.Judge(identify(), s.now())
}

// RecordCrash reports that an endpoint was lost while a request ran there, alone or beside others. It returns when the
// other entries have been told, when they need not be, or when ctx ends.
func (s *Suspecter) RecordCrash(ctx context.Context, f suspect.Fingerprint, service, endpoint string, alone bool) {
	done := make(chan struct{})
	lost := EndpointLost{Fingerprint: f, Service: service, Endpoint: endpoint, Alone: alone, At: s.now(), Done: done}
	if err := s.send(ctx, lost); err != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// RecordSuccess reports that a request ran alone and to completion.
func (s *Suspecter) RecordSuccess(f suspect.Fingerprint) {
	_ = s.send(context.Background(), CompletedAlone{Fingerprint: f, At: s.now()})
}
