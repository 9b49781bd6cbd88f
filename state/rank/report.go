package rank

// Report is what a rank says of itself at one moment.
type Report struct {
	// Group names the rank's group, empty for a runner that is in none.
	Group string
	// Epoch counts how often the group was formed; a new one begins with the first map and nothing prepared.
	Epoch uint64
	// Rank is the rank's number in the group, from 0, and Size how many ranks the group has.
	Rank, Size int
	// Open says that the group makes passes.
	Open bool
	// Step is the last pass that was begun.
	Step uint64
	// Map is the version in use, and Prepared the version that was copied whole, 0 for none.
	Map, Prepared uint64
	// Armed is the version to which the rank switches as pass ArmedStep begins, 0 for none.
	Armed, ArmedStep uint64
	// Held is the pass that the group does not begin, 0 for none.
	Held uint64
	// Orders counts the orders that began something.
	Orders uint64
	// Pace tells how much slower than usual the rank works, 1 for as usual.
	Pace float64
	// Active and Queued are the requests that the rank works on and that wait there.
	Active, Queued int
}

// Counts are how often the rank's requests chose each expert since the rank started, set after set.
type Counts struct {
	Epoch  uint64
	Step   uint64
	Counts []uint64
}

// Holdings are the experts that a rank holds, by set.
type Holdings struct {
	// Map is the version in use and Prepared the one that was copied whole, 0 for none.
	Map, Prepared uint64
	// InUse and Copied are what the rank holds of them.
	InUse, Copied [][]int
}

// Verb names an order.
type Verb string

// The orders.
const (
	VerbPrepare Verb = "prepare"
	VerbArm     Verb = "arm"
	VerbDisarm  Verb = "disarm"
	VerbHold    Verb = "hold"
	VerbRelease Verb = "release"
)

// Order is one order to a rank, which is refused in another epoch and after any other order that began something.
type Order struct {
	Verb    Verb
	Epoch   uint64
	Orders  uint64
	Version uint64
	Step    uint64
	// Map is the layout to prepare.
	Map Layout
}

// Carried is what became of an order.
type Carried struct {
	// Report is the rank's report after the order.
	Report Report
	// Whole is the version that the rank was seen to hold as ordered, 0 for none.
	Whole uint64
	// Failure is why the order was not known to have begun, nil if it was.
	Failure error
}
