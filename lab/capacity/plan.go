package capacity

// The planned size and its budgets, as the users stated them, except that rackVMs is assumed. Rates are per second, but
// planChanges and planRestarts per day; budgetReads also bounds the number of waiting watches.
const (
	planDaemons          = 1_000
	planEndpoints        = 12_000
	planRequests         = 22_000
	planTokens           = 5_300_000
	planAccounts         = 7_300
	planCentres          = 11
	planModels           = 8
	planRegions          = 4
	planChanges          = 13_000
	planGroups           = 375
	planRestarts         = 1_900
	tokenIntervalSeconds = 0.075
	secondsPerDay        = 86_400
	rackVMs              = 40
	budgetCorePercent    = 1.3
	budgetMemoryBytes    = 256e6
	budgetTrafficBytes   = 7_000
	budgetWrites         = 300
	budgetReads          = 2_000
	budgetInForceSeconds = 10
	renewalSeconds       = 5
	planVMs              = planDaemons + planEndpoints
	centreDaemons        = planDaemons / planCentres
	regionDaemons        = planDaemons / planRegions
	entryRequests        = float64(planRequests) / planDaemons
	entryTokens          = float64(planTokens) / planDaemons
	runnerRequests       = float64(planRequests) / planEndpoints
	runnerTokens         = float64(planTokens) / planEndpoints
)

// openStreams returns the mean number of answers that are open at once, from requests a second, the tokens in a mean
// answer and the interval between tokens.
func openStreams(requests float64) float64 {
	return requests * float64(planTokens) / planRequests * tokenIntervalSeconds
}
