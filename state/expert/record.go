package expert

// Entry is a map with the proposal that put it in force.
type Entry struct {
	Proposal Proposal
	Map      Map
}

// Record is the content of a group's platform object: the highest fencing token under which the group takes orders,
// the map in force from the last switch's step on, and the map in force before that step.
type Record struct {
	token    uint64
	current  Entry
	previous Entry
}

// NewRecord returns the record of a group that starts with m.
func NewRecord(m Map) Record { return Record{current: Entry{Map: m}, previous: Entry{Map: m}} }

// RecordOf returns a record with the given content.
func RecordOf(token uint64, current, previous Entry) Record {
	return Record{token: token, current: current, previous: previous}
}

// Token returns the highest fencing token that a holder of the lease has written.
func (r Record) Token() uint64 { return r.token }

// Current returns the map in force from its proposal's step on.
func (r Record) Current() Entry { return r.current }

// Previous returns the map in force before the current one's step.
func (r Record) Previous() Entry { return r.previous }

// WithToken returns the record with the fencing token of a new holder of the lease.
func (r Record) WithToken(token uint64) Record {
	r.token = token
	return r
}

// WithSwitch returns the record in which p's map is in force from p's step on.
func (r Record) WithSwitch(p Proposal, m Map) Record {
	r.previous = r.current
	r.current = Entry{Proposal: p, Map: m}
	return r
}

// At returns the entry in force at a step.
func (r Record) At(step uint64) Entry {
	if step < r.current.Proposal.Step {
		return r.previous
	}
	return r.current
}

// Decide returns the outcome of p, given that the object is at version with this content: p is committed if the record
// holds it, and aborted if the object reached p's version without it.
func (r Record) Decide(p Proposal, version uint64) Decision {
	switch {
	case r.current.Proposal == p || r.previous.Proposal == p:
		return DecisionCommit
	case version >= p.Version:
		return DecisionAbort
	}
	return DecisionOpen
}
