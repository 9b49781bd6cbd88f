package platform

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Call names a kind of call that the platform counts.
type Call string

// The calls that are counted.
const (
	CallGet   Call = "get"
	CallPut   Call = "put"
	CallWatch Call = "watch"
	CallVMs   Call = "vms"
)

// Fault decides what goes wrong with a call: an Error before it takes effect, or after.
type Fault func(call Call, name string) (before, after error)

// Store holds objects and the VM list in memory; it implements Store and VMLister.
type Store struct {
	mu      sync.Mutex
	objects map[string]object.Object
	vms     roster.Roster
	changed chan struct{}
	counts  map[Call]int
	fault   Fault
	waiting atomic.Int64
}

// Option sets a field of a Store under construction.
type Option func(*Store)

// Faults sets what goes wrong with calls.
func Faults(f Fault) Option { return func(s *Store) { s.fault = f } }

// New returns an empty store.
func New(options ...Option) *Store {
	s := &Store{
		objects: map[string]object.Object{},
		changed: make(chan struct{}),
		counts:  map[Call]int{},
		fault:   func(Call, string) (error, error) { return nil, nil },
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Counts returns how many calls of each kind were made.
func (s *Store) Counts() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[Call]int, len(s.counts))
	for call, n := range s.counts {
		counts[call] = n
	}
	return counts
}

// Waiting returns how many watches are held open, each of which the platform counts as a call.
func (s *Store) Waiting() int { return int(s.waiting.Load()) }

// meet counts a call and returns what goes wrong with it.
func (s *Store) meet(call Call, name string) (before, after error) {
	s.mu.Lock()
	s.counts[call]++
	s.mu.Unlock()
	return s.fault(call, name)
}

// Get returns the object in force, or an Error of KindMissing.
func (s *Store) Get(_ context.Context, kind object.Kind, name string) (object.Object, error) {
	before, after := s.meet(CallGet, name)
	if before != nil {
		return object.Object{}, before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[key(kind, name)]
	if !found {
		return object.Object{}, fault.Newf("get", kingcupstile.KindMissing, "%s %s", kind, name)
	}
	return o, after
}

// Put writes o if the stored version equals its own and returns it with its new version.
func (s *Store) Put(_ context.Context, o object.Object) (object.Object, error) {
	before, after := s.meet(CallPut, o.Name())
	if before != nil {
		return object.Object{}, before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.objects[key(o.Kind(), o.Name())]
	switch {
	case len(o.Value()) > object.MaxValueBytes:
		return object.Object{}, fault.Newf("put", kingcupstile.KindInvalid, "value of %d bytes", len(o.Value()))
	case stored.Version() != o.Version():
		return object.Object{}, fault.Newf("put", kingcupstile.KindConflict, "version is %d", stored.Version())
	}
	o = o.WithVersion(stored.Version() + 1)
	s.objects[key(o.Kind(), o.Name())] = o
	s.wake()
	return o, after
}

// Watch waits until the object's version exceeds after and returns it, or an Error of KindMissing when ctx ends.
func (s *Store) Watch(ctx context.Context, kind object.Kind, name string, after uint64) (object.Object, error) {
	before, lost := s.meet(CallWatch, name)
	if before != nil {
		return object.Object{}, before
	}
	for {
		s.mu.Lock()
		o, changed := s.objects[key(kind, name)], s.changed
		s.mu.Unlock()
		if o.Version() > after {
			return o, lost
		}
		if err := s.wait(ctx, changed); err != nil {
			return object.Object{}, err
		}
	}
}

// VMs waits until the list's version exceeds after and returns it, or an Error of KindMissing when ctx ends.
func (s *Store) VMs(ctx context.Context, after uint64) (roster.Roster, error) {
	before, lost := s.meet(CallVMs, "")
	if before != nil {
		return roster.Roster{}, before
	}
	for {
		s.mu.Lock()
		r, changed := s.vms, s.changed
		s.mu.Unlock()
		if r.Version() > after {
			return r, lost
		}
		if err := s.wait(ctx, changed); err != nil {
			return roster.Roster{}, err
		}
	}
}

// Roster returns the VM list without counting a call.
func (s *Store) Roster() roster.Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms
}

// PutVM adds or replaces a row of the VM list.
func (s *Store) PutVM(v roster.VM) { s.PutVMs(v) }

// PutVMs adds or replaces rows of the VM list in one new version.
func (s *Store) PutVMs(vms ...roster.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = roster.New(s.vms.Version()+1, append(s.vms.VMs(), vms...)...)
	s.wake()
}

// wake ends every waiting watch so that it looks again; mu is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) wait(ctx context.Context, changed <-chan struct{}) error {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return fault.New("watch", kingcupstile.KindMissing, ctx.Err())
	}
}

func key(kind object.Kind, name string) string { return string(kind) + "/" + name }
