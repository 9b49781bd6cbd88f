package suspect

import (
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// MaxRecords is the most records in a table; beyond it those that expire first are dropped.
const MaxRecords = 4096

// Table is a set of records by fingerprint.
type Table struct{ records *iradix.Tree[Record] }

// NewTable returns a table of records.
func NewTable(records ...Record) Table {
	t := Table{records: iradix.New[Record]()}
	for _, r := range records {
		t = t.WithRecord(r)
	}
	return t
}

// Len returns the number of records.
func (t Table) Len() int { return t.records.Len() }

// Find returns the record of a fingerprint, and false if there is none.
func (t Table) Find(f Fingerprint) (Record, bool) { return t.records.Get([]byte(f)) }

// Records returns all records in order of fingerprints.
func (t Table) Records() []Record {
	records := make([]Record, 0, t.Len())
	t.records.Root().Walk(func(_ []byte, r Record) bool {
		records = append(records, r)
		return false
	})
	return records
}

// Judge returns how a request may be executed at a time, and the record that decides it, empty if there is none.
func (t Table) Judge(f Fingerprint, now time.Time) (Verdict, Record) {
	r, found := t.Find(f)
	if !found {
		return VerdictClear, Record{}
	}
	return r.Verdict(now), r
}

// WithRecord returns the table with a record added, or merged with the record of the same fingerprint.
func (t Table) WithRecord(r Record) Table {
	if known, found := t.Find(r.fingerprint); found {
		r = known.WithMerged(r)
	}
	t.records, _, _ = t.records.Insert([]byte(r.fingerprint), r)
	if t.Len() > MaxRecords {
		t.records, _, _ = t.records.Delete([]byte(t.soonestExpiring().fingerprint))
	}
	return t
}

// WithMerged returns the table merged with another one.
func (t Table) WithMerged(other Table) Table {
	for _, r := range other.Records() {
		t = t.WithRecord(r)
	}
	return t
}

// WithoutExpired returns the table without the records that have expired at a time.
func (t Table) WithoutExpired(now time.Time) Table {
	for _, r := range t.Records() {
		if !now.Before(r.Expiry()) {
			t.records, _, _ = t.records.Delete([]byte(r.fingerprint))
		}
	}
	return t
}

// NewerThan returns the table of those records that would add something to another table: it lacks them, or has older
// versions of them.
func (t Table) NewerThan(other Table) Table {
	newer := NewTable()
	for _, r := range t.Records() {
		if known, found := other.Find(r.fingerprint); !found || known.WithMerged(r) != known {
			newer = newer.WithRecord(r)
		}
	}
	return newer
}

// soonestExpiring returns the record that expires first.
func (t Table) soonestExpiring() Record {
	var first Record
	for i, r := range t.Records() {
		if i == 0 || r.Expiry().Before(first.Expiry()) {
			first = r
		}
	}
	return first
}
