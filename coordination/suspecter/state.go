package suspecter

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/state/suspect"
)

const (
	// maxLosses is how many endpoints may be lost within lostWindow for requests that ran beside others to be blamed; more
	// losses have another cause than a request.
	maxLosses  = 3
	lostWindow = 10 * time.Second
	// localStoreDelay and remoteStoreDelay are the longest random delays before a change is saved on the platform: if this
	// entry saw a crash, and if not.
	localStoreDelay  = time.Second
	remoteStoreDelay = 10 * time.Second
	// storeRetryDelay is how long after a save it is repeated if the stored table still lacks a record.
	storeRetryDelay = 5 * time.Second
)

// loss is the loss of one endpoint.
type loss struct {
	endpoint string
	at       time.Time
}

// State is what one entry knows of suspects and has yet to broadcast and save.
type State struct {
	table suspect.Table
	// stored is the table that the platform held when it was last read.
	stored suspect.Table
	// losses are the endpoints lost within lostWindow before the latest loss.
	losses []loss
	// unsent holds the records that changed here since the last broadcast.
	unsent suspect.Table
	// waiters are the Done channels to be closed after the next broadcast.
	waiters []chan<- struct{}
	// isLocal says that this entry saw a crash that is not saved yet.
	isLocal bool
	// storeAt is when the table is saved next, zero if nothing is to be saved.
	storeAt time.Time
}

// New returns the state of an entry without suspects.
func New() State {
	return State{table: suspect.NewTable(), stored: suspect.NewTable(), unsent: suspect.NewTable()}
}

// Table returns the records that this entry knows.
func (s State) Table() suspect.Table { return s.table }

// Step returns the state after an event, and the effects to carry out.
func Step(s State, event Event) (State, []Effect) {
	switch e := event.(type) {
	case EndpointLost:
		return s.recordLoss(e)
	case CompletedAlone:
		if r, found := s.table.Find(e.Fingerprint); found {
			s = s.withObserved(r.WithCleared(e.At))
		}
	case SuspectsReceived:
		s.table = s.table.WithMerged(e.Table)
	case StoredTableRead:
		s.stored = e.Table
		s.table = s.table.WithMerged(e.Table)
	case Tick:
		return s.tick(e)
	}
	return s, nil
}

// recordLoss adds a crash to a request's record, unless more than maxLosses endpoints were lost within lostWindow,
// which has another cause. A request that ran alone is always blamed, and its record is broadcast at once.
func (s State) recordLoss(e EndpointLost) (State, []Effect) {
	s.losses = slices.DeleteFunc(slices.Clone(s.losses), func(l loss) bool { return e.At.Sub(l.at) > lostWindow })
	isKnown := slices.ContainsFunc(s.losses, func(l loss) bool { return l.endpoint == e.Endpoint })
	if !isKnown {
		s.losses = append(s.losses, loss{endpoint: e.Endpoint, at: e.At})
	}
	if len(s.losses) > maxLosses && !e.Alone {
		return s, []Effect{Release{Done: e.Done}}
	}
	r, found := s.table.Find(e.Fingerprint)
	if !found {
		r = suspect.NewRecord(e.Fingerprint, suspect.Service(e.Service))
	}
	s = s.withObserved(r.WithCrash(e.At, e.Alone))
	s.isLocal = true
	s.waiters = append(slices.Clip(s.waiters), e.Done)
	if e.Alone {
		return s.broadcast()
	}
	return s, nil
}

// broadcast sends the other entries the records that changed here since the last broadcast.
func (s State) broadcast() (State, []Effect) {
	if s.unsent.Len() == 0 {
		return s, nil
	}
	effect := Broadcast{Table: s.unsent, Done: s.waiters}
	s.unsent, s.waiters = suspect.NewTable(), nil
	return s, []Effect{effect}
}

// withObserved adds a record that changed here, to be broadcast and saved.
func (s State) withObserved(r suspect.Record) State {
	s.table, s.unsent = s.table.WithRecord(r), s.unsent.WithRecord(r)
	return s
}

// tick broadcasts the records that changed here, drops expired ones, and saves after a random delay what the platform
// lacks. Thanks to the random delay, one of the entries that know a record saves it, and the others see that it is
// stored.
func (s State) tick(e Tick) (State, []Effect) {
	s, effects := s.broadcast()
	s.table, s.stored = s.table.WithoutExpired(e.At), s.stored.WithoutExpired(e.At)
	beyond := s.table.NewerThan(s.stored)
	switch {
	case beyond.Len() == 0:
		s.storeAt, s.isLocal = time.Time{}, false
	case s.storeAt.IsZero():
		delay := remoteStoreDelay
		if s.isLocal {
			delay = localStoreDelay
		}
		s.storeAt = e.At.Add(time.Duration(e.Jitter * float64(delay)))
	case !e.At.Before(s.storeAt):
		effects = append(effects, SaveTable{Table: s.table})
		s.storeAt = e.At.Add(storeRetryDelay)
	}
	return s, effects
}
