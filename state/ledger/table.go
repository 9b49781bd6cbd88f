package ledger

import (
	"encoding/binary"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// table holds entries by identity and tombstones by attempt ID, with an index in order of expiry. The horizon is the
// latest expiry of an entry, a tombstone or an expired attempt that is no longer recorded.
type table struct {
	entries    *iradix.Tree[Entry]
	tombstones *iradix.Tree[time.Time]
	expiries   *iradix.Tree[string]
	horizon    time.Time
}

func newTable() table {
	return table{entries: iradix.New[Entry](), tombstones: iradix.New[time.Time](), expiries: iradix.New[string]()}
}

func (t table) len() int { return t.entries.Len() + t.tombstones.Len() }

func (t table) find(identity string) (Entry, bool) { return t.entries.Get([]byte(identity)) }

func (t table) hasTombstone(id string) bool {
	_, found := t.tombstones.Get([]byte(id))
	return found
}

// isAtOrBeforeHorizon reports whether an entry or tombstone with this expiry may have been dropped.
func (t table) isAtOrBeforeHorizon(expiry time.Time) bool { return !expiry.After(t.horizon) }

func (t table) withEntry(e Entry) table {
	t.entries, _, _ = t.entries.Insert([]byte(e.identity), e)
	t.expiries, _, _ = t.expiries.Insert(expiryKey(e.expiry, e.identity), e.identity)
	return t
}

// withState sets the state of an entry; its key in the index by expiry stays the same.
func (t table) withState(e Entry, s State) table {
	t.entries, _, _ = t.entries.Insert([]byte(e.identity), e.WithState(s))
	return t
}

func (t table) withoutEntry(e Entry) table {
	t.entries, _, _ = t.entries.Delete([]byte(e.identity))
	t.expiries, _, _ = t.expiries.Delete(expiryKey(e.expiry, e.identity))
	return t
}

func (t table) withTombstone(id string, expiry time.Time) table {
	t.tombstones, _, _ = t.tombstones.Insert([]byte(id), expiry)
	t.expiries, _, _ = t.expiries.Insert(expiryKey(expiry, id), id)
	return t
}

func (t table) withHorizon(expiry time.Time) table {
	if expiry.After(t.horizon) {
		t.horizon = expiry
	}
	return t
}

// withoutExpired drops everything that expires by the given time, except entries of attempts in progress.
func (t table) withoutExpired(by time.Time) table {
	it := t.expiries.Root().Iterator()
	for key, id, found := it.Next(); found; key, id, found = it.Next() {
		if expiryOf(key).After(by) {
			break
		}
		t = t.withEvicted(key, id)
	}
	return t
}

// withEarliestEvicted drops the first to expire that is not in progress; it returns false if all are in progress.
func (t table) withEarliestEvicted() (table, bool) {
	it := t.expiries.Root().Iterator()
	for key, id, found := it.Next(); found; key, id, found = it.Next() {
		before := t.len()
		t = t.withEvicted(key, id)
		if t.len() < before {
			return t, true
		}
	}
	return t, false
}

// withEvicted drops the entry or tombstone at a key of the index and advances the horizon, unless it is in progress.
func (t table) withEvicted(key []byte, id string) table {
	e, found := t.find(id)
	if found && e.state != StateFinished {
		return t
	}
	t.expiries, _, _ = t.expiries.Delete(key)
	t.entries, _, _ = t.entries.Delete([]byte(id))
	t.tombstones, _, _ = t.tombstones.Delete([]byte(id))
	return t.withHorizon(expiryOf(key))
}

func expiryKey(t time.Time, id string) []byte {
	key := binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(id)), uint64(max(0, t.UnixNano())))
	return append(key, id...)
}

func expiryOf(key []byte) time.Time {
	return time.Unix(0, int64(binary.BigEndian.Uint64(key)))
}
