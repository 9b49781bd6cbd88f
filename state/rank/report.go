package rank

// Report is the state of a rank at one moment as the rank reports it.
type Report struct {
	// Group is the name of the rank's group, empty for a runner that is not in a group.
	Group string
	// Epoch counts how often the group was formed; a new epoch starts on the initial map with no map prepared.
	Epoch uint64
	// Rank is the rank's number in the group, from 0, and Size the number of ranks in the group.
	Rank, Size int
	// GroupOpen reports that the group is formed and runs passes.
	GroupOpen bool
	// Step is the number of the last pass that was begun.
	Step uint64
	// MapVersion is the version of the map in use, and PreparedVersion that of the map copied completely, 0 for none.
	MapVersion, PreparedVersion uint64
	// ArmedVersion is the version that the rank switches to when pass ArmedStep begins, 0 for none.
	ArmedVersion, ArmedStep uint64
	// HeldStep is the pass that the group does not begin until the rank releases it, 0 for none.
	HeldStep uint64
	// OrderCount is the number of orders that took effect; each order is conditional on it.
	OrderCount uint64
	// Slowdown is the factor by which the rank is slower than normal, 1 for normal speed.
	Slowdown float64
	// ActiveRequests and QueuedRequests are the numbers of requests that the rank executes and that wait at it.
	ActiveRequests, QueuedRequests int
	// IsLagged says that the report may describe the rank as it was some hundred milliseconds ago.
	IsLagged bool
}

// Counts holds how often the rank's requests selected each expert since the rank started, ordered by set and expert.
type Counts struct {
	Epoch  uint64
	Step   uint64
	Counts []uint64
}

// Holdings lists the experts that a rank holds, by set.
type Holdings struct {
	// MapVersion is the version of the map in use and PreparedVersion that of the map copied completely, 0 for none.
	MapVersion, PreparedVersion uint64
	// InUse and Copied are the experts that the rank holds of these two maps, by set.
	InUse, Copied [][]int
}

// Verb is the operation that an order asks for.
type Verb string

// The operations: prepare copies a map beside the one in use, arm and disarm set and cancel the switch to it at a step,
// and hold and release keep the group from beginning a step and let it begin.
const (
	VerbPrepare Verb = "prepare"
	VerbArm     Verb = "arm"
	VerbDisarm  Verb = "disarm"
	VerbHold    Verb = "hold"
	VerbRelease Verb = "release"
)

// Order is an order to a rank. The rank refuses it in another epoch, or if its count of orders is not
// ExpectedOrderCount, which is the case once another order took effect.
type Order struct {
	Verb               Verb
	Epoch              uint64
	ExpectedOrderCount uint64
	Version            uint64
	Step               uint64
	// Layout is the layout to prepare.
	Layout Layout
	// Base is the layout in use, of BaseVersion, to which Layout may be sent as changes; nil if it is not known.
	Base        Layout
	BaseVersion uint64
}

// OrderResult is the outcome of an order.
type OrderResult struct {
	// Report is the rank's report after the order.
	Report Report
	// VerifiedVersion is the version whose experts the rank was verified to hold as ordered, 0 for none.
	VerifiedVersion uint64
	// Err is the error of sending the order, after which it may or may not have taken effect; nil if it is known to
	// have.
	Err error
}
