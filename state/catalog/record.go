package catalog

import "time"

// Record is one entry of the audit trail, written in the same update as the change that it describes.
type Record struct {
	idempotencyKey string
	author         string
	at             time.Time
	from           uint64
	to             uint64
	changes        []string
}

// NewRecord returns the record of author's change from one version to another; idempotencyKey identifies the publish.
func NewRecord(idempotencyKey, author string, at time.Time, from, to uint64, changes ...string) Record {
	return Record{idempotencyKey: idempotencyKey, author: author, at: at, from: from, to: to, changes: changes}
}

// IdempotencyKey returns the key of the publish that wrote the record, by which a retry detects that it took effect.
func (r Record) IdempotencyKey() string { return r.idempotencyKey }

// Author returns who made the change.
func (r Record) Author() string { return r.author }

// At returns the time of the change by the clock of the author's client.
func (r Record) At() time.Time { return r.at }

// From returns the version that the change was based on.
func (r Record) From() uint64 { return r.from }

// To returns the version that the change created.
func (r Record) To() uint64 { return r.to }

// Changes returns one line for each item that changed; the caller must not modify the slice.
func (r Record) Changes() []string { return r.changes }
