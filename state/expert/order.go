package expert

// Verb is the operation that an order or instruction asks for.
type Verb string

// The operations: stage loads a map beside the one in use, and promise, commit and abort are the steps of the two-phase
// commit (promise is its prepare). Start is only given by the process in the rank's slot, to its own engine.
const (
	VerbStage   Verb = "stage"
	VerbPromise Verb = "promise"
	VerbCommit  Verb = "commit"
	VerbAbort   Verb = "abort"
	VerbStart   Verb = "start"
)

// Order is a request from the holder of the group's lease to a rank, under the holder's fencing token.
type Order struct {
	Verb     Verb
	Token    uint64
	Rank     int
	Proposal Proposal
	Map      Map
}

// Instruction is a request from the process in a rank's slot to its engine. Incarnation identifies the start of the
// engine that it is meant for; it has no effect on another one.
type Instruction struct {
	Verb        Verb
	Token       uint64
	Incarnation uint64
	Proposal    Proposal
	Map         Map
	Record      Record
}

// Status is the state of a rank as its engine reports it.
type Status struct {
	// Incarnation identifies this start of the engine.
	Incarnation uint64
	// Started reports that the engine was given a map and takes steps.
	Started bool
	// Step is the number of the next step that the rank takes.
	Step uint64
	// Version is the version of the platform object that put the next step's map in force.
	Version uint64
	// Staged is the ballot whose map is loaded beside the one in use, zero if there is none.
	Staged Ballot
	// Promise is the proposal that the rank has prepared for: at its step the rank waits until it learns the decision.
	Promise Proposal
	// Scheduled is the committed proposal whose step is still to come.
	Scheduled Proposal
	// Waiting reports that the rank reached its promise's step and waits for the decision.
	Waiting bool
}

// Refusal is the reason why a rank's process did not carry out an order.
type Refusal string

// The reasons for refusing an order; RefusalNone stands for an order that was carried out.
const (
	RefusalNone     Refusal = ""
	RefusalOldToken Refusal = "old token"
	RefusalNoToken  Refusal = "token not learnt"
	RefusalStarting Refusal = "engine not started"
	RefusalBusy     Refusal = "other promise open"
	RefusalLate     Refusal = "step already taken"
	RefusalUnstaged Refusal = "map not staged"
)

// Report is the answer of a rank's process to an order.
type Report struct {
	Rank    int
	Token   uint64
	Refusal Refusal
	Status  Status
}
