package suspecter

import (
	"context"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// ObjectName is the name of the platform object that holds the table of suspects.
const ObjectName = "table"

// maxSaveAttempts is how many times a write is tried while it conflicts with those of other entries.
const maxSaveAttempts = 4

// Saver loads and saves the table of suspects on the platform.
type Saver struct {
	store kingcupstile.Store
	codec kingcupstile.SuspectCodec
}

// NewSaver returns a saver that writes to a store.
func NewSaver(store kingcupstile.Store, codec kingcupstile.SuspectCodec) Saver {
	return Saver{store: store, codec: codec}
}

// Load returns the table that the platform holds, which is empty if there is none, or an Error of KindInvalid or of the
// store.
func (s Saver) Load(ctx context.Context) (suspect.Table, error) {
	_, t, err := s.load(ctx)
	return t, err
}

// Save merges a table into the one that the platform holds and returns the result; it writes nothing if the platform
// holds every record already. It returns an Error of KindInvalid or of the store.
func (s Saver) Save(ctx context.Context, t suspect.Table) (suspect.Table, error) {
	var lastErr error
	for range maxSaveAttempts {
		o, stored, err := s.load(ctx)
		if err != nil {
			return stored, err
		}
		if t.NewerThan(stored).Len() == 0 {
			return stored, nil
		}
		merged := stored.WithMerged(t)
		value, err := s.codec.Encode(merged)
		if err != nil {
			return stored, fault.New("save suspects", KindInvalid, err)
		}
		if _, lastErr = s.store.Put(ctx, o.WithValue(value)); lastErr == nil {
			return merged, nil
		}
		if fault.KindOf[kingcupstile.Kind](lastErr) != kingcupstile.KindConflict {
			return stored, lastErr
		}
	}
	return suspect.NewTable(), lastErr
}

func (s Saver) load(ctx context.Context) (object.Object, suspect.Table, error) {
	o, err := s.store.Get(ctx, object.KindSuspect, ObjectName)
	if fault.KindOf[kingcupstile.Kind](err) == kingcupstile.KindMissing {
		return object.New(object.KindSuspect, ObjectName), suspect.NewTable(), nil
	}
	if err != nil {
		return o, suspect.NewTable(), err
	}
	t, err := s.codec.Decode(o.Value())
	if err != nil {
		return o, t, fault.New("load suspects", KindInvalid, err)
	}
	return o, t, nil
}
