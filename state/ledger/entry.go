package ledger

import "time"

// State is the progress of an admitted attempt on this incarnation; a refused attempt has a tombstone instead.
type State string

// The states of an attempt.
const (
	StateAdmitted State = "admitted"
	StateStarted  State = "started"
	StateFinished State = "finished"
)

// Entry is the ledger's record of one identity.
type Entry struct {
	identity string
	attempt  string
	digest   uint64
	state    State
	expiry   time.Time
}

// Identity returns the identifier that may run at most once.
func (e Entry) Identity() string { return e.identity }

// Attempt returns the identifier of the attempt that was admitted.
func (e Entry) Attempt() string { return e.attempt }

// Digest returns the digest of the admitted request.
func (e Entry) Digest() uint64 { return e.digest }

// State returns the attempt's progress.
func (e Entry) State() State { return e.state }

// Expiry returns the attempt's expiry, until which a finished entry is kept unless a full table evicts it.
func (e Entry) Expiry() time.Time { return e.expiry }

// WithState returns the entry in state s.
func (e Entry) WithState(s State) Entry {
	e.state = s
	return e
}
