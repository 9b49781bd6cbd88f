package platform

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Call is a kind of platform call; calls are counted by kind.
type Call string

// The kinds of call.
const (
	CallGet   Call = "get"
	CallPut   Call = "put"
	CallWatch Call = "watch"
	CallVMs   Call = "vms"
)

// FaultFunc returns the fault to inject into a call: an error before it takes effect, an error after, or neither.
type FaultFunc func(call Call, name string) (before, after error)

// Store holds objects and the VM list in memory; it implements kingcupstile.Store and kingcupstile.VMLister.
type Store struct {
	mu      sync.Mutex
	objects map[string]object.Object
	vms     roster.Roster
	changed chan struct{}
	counts  map[Call]int
	// era counts the restores.
	era         uint64
	fault       FaultFunc
	openWatches atomic.Int64
}

// Option sets a field of a Store under construction.
type Option func(*Store)

// Faults sets the function that injects faults into calls.
func Faults(f FaultFunc) Option { return func(s *Store) { s.fault = f } }

// New returns an empty store without faults.
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

// Copy is all that a store held at one time.
type Copy struct {
	objects map[string]object.Object
	vms     roster.Roster
}

// Copy returns all that the store holds.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{objects: maps.Clone(s.objects), vms: s.vms}
}

// Restore replaces all that the store holds by a copy, begins the next era, and ends the watches that wait.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.vms = maps.Clone(c.objects), c.vms
	s.era++
	s.notifyWatchers()
}

// Era returns how often the store was restored.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Counts returns the number of calls of each kind, those with an injected fault included.
func (s *Store) Counts() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[Call]int, len(s.counts))
	for call, n := range s.counts {
		counts[call] = n
	}
	return counts
}

// OpenWatches returns the number of watches, of objects and of the VM list, that are waiting for a change.
func (s *Store) OpenWatches() int { return int(s.openWatches.Load()) }

// beginCall counts a call and returns the fault injected into it.
func (s *Store) beginCall(call Call, name string) (before, after error) {
	s.mu.Lock()
	s.counts[call]++
	s.mu.Unlock()
	return s.fault(call, name)
}

// Get returns the stored object, or an Error of KindMissing.
func (s *Store) Get(_ context.Context, kind object.Kind, name string) (object.Object, error) {
	before, after := s.beginCall(CallGet, name)
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

// Put stores o if the stored version equals o.Version() (0 creates) and returns it with its new version; it returns an
// Error of KindConflict for another version, and of KindInvalid for a value above object.MaxValueBytes.
func (s *Store) Put(_ context.Context, o object.Object) (object.Object, error) {
	before, after := s.beginCall(CallPut, o.Name())
	if before != nil {
		return object.Object{}, before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.objects[key(o.Kind(), o.Name())]
	switch {
	case len(o.Value()) > object.MaxValueBytes:
		return object.Object{}, fault.Newf("put", kingcupstile.KindInvalid, "value of %d bytes is too large", len(o.Value()))
	case stored.Version() != o.Version():
		return object.Object{}, fault.Newf("put", kingcupstile.KindConflict, "stored version is %d", stored.Version())
	}
	o = o.WithVersion(stored.Version() + 1)
	s.objects[key(o.Kind(), o.Name())] = o
	s.notifyWatchers()
	return o, after
}

// Watch waits until the object's version exceeds after and returns it, or an Error of KindMissing when ctx ends.
func (s *Store) Watch(ctx context.Context, kind object.Kind, name string, after uint64) (object.Object, error) {
	before, lost := s.beginCall(CallWatch, name)
	if before != nil {
		return object.Object{}, before
	}
	for era := s.Era(); ; {
		s.mu.Lock()
		o, changed, now := s.objects[key(kind, name)], s.changed, s.era
		s.mu.Unlock()
		if now != era {
			return object.Object{}, fault.Newf("watch", kingcupstile.KindUnavailable, "the store was restored")
		}
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
	before, lost := s.beginCall(CallVMs, "")
	if before != nil {
		return roster.Roster{}, before
	}
	for era := s.Era(); ; {
		s.mu.Lock()
		r, changed, now := s.vms, s.changed, s.era
		s.mu.Unlock()
		if now != era {
			return roster.Roster{}, fault.Newf("list VMs", kingcupstile.KindUnavailable, "the store was restored")
		}
		if r.Version() > after {
			return r, lost
		}
		if err := s.wait(ctx, changed); err != nil {
			return roster.Roster{}, err
		}
	}
}

// Roster returns the current VM list; it is not counted as a call and no fault is injected.
func (s *Store) Roster() roster.Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms
}

// PutVM adds or replaces an entry of the VM list.
func (s *Store) PutVM(v roster.VM) { s.PutVMs(v) }

// PutVMs adds or replaces entries of the VM list in one new version.
func (s *Store) PutVMs(vms ...roster.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = roster.New(s.vms.Version()+1, append(s.vms.VMs(), vms...)...)
	s.notifyWatchers()
}

// notifyWatchers wakes every open watch so that it checks its version again; mu is held.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait blocks until a change, or returns an Error of KindMissing when ctx ends.
func (s *Store) wait(ctx context.Context, changed <-chan struct{}) error {
	s.openWatches.Add(1)
	defer s.openWatches.Add(-1)
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return fault.New("watch", kingcupstile.KindMissing, ctx.Err())
	}
}

func key(kind object.Kind, name string) string { return string(kind) + "/" + name }
