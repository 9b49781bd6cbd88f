package expert

// Ballot identifies a map that a holder of the group's lease proposes: the holder's fencing token and a number under
// it. No two maps share a ballot.
type Ballot struct {
	Token  uint64
	Number uint64
}

// IsZero reports whether the ballot identifies no map.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// Proposal is a proposed switch: every rank uses the ballot's map from Step on if the platform object records the
// switch at Version, its next version.
type Proposal struct {
	Ballot  Ballot
	Version uint64
	Step    uint64
}

// IsZero reports whether p is the zero value, which stands for no proposal.
func (p Proposal) IsZero() bool { return p == Proposal{} }

// Decision is the outcome of a proposal.
type Decision string

// The outcomes of a proposal; an open one is not decided yet.
const (
	DecisionOpen   Decision = "open"
	DecisionCommit Decision = "commit"
	DecisionAbort  Decision = "abort"
)
