package capacity

import "fmt"

// estimate is a quantity at the planned size with its budget, 0 if it has none, how it was derived, and the mechanism
// that bounds it.
type estimate struct {
	role       string
	quantity   string
	value      float64
	unit       string
	budget     float64
	derivation string
	mechanism  string
}

// row returns the estimate as a row of a Markdown table; the margin is the part of the budget that is left.
func (s estimate) row() string {
	budget, margin := "none", ""
	if s.budget > 0 {
		budget = fmt.Sprintf("%.4g", s.budget)
		margin = fmt.Sprintf("%+.0f%%", 100*(s.budget-s.value)/s.budget)
	}
	return fmt.Sprintf("| %s | %s | %.4g %s | %s | %s | %s | %s |",
		s.role, s.quantity, s.value, s.unit, budget, margin, s.derivation, s.mechanism)
}

// isOverBudget reports whether the value exceeds the budget.
func (s estimate) isOverBudget() bool { return s.budget > 0 && s.value > s.budget }

// seriesByID holds the measured series by identifier.
type seriesByID map[string]series

// slope returns the slope of a series.
func (m seriesByID) slope(id string) float64 {
	slope, _ := m[id].fit()
	return slope
}

// base returns the value of a series at size 0, but never less than 0.
func (m seriesByID) base(id string) float64 {
	_, base := m[id].fit()
	return max(0, base)
}

// has reports whether every named series was measured.
func (m seriesByID) has(ids ...string) bool {
	for _, id := range ids {
		if len(m[id].points) == 0 {
			return false
		}
	}
	return true
}

// estimates returns every estimate whose series were measured.
func estimates(m seriesByID) []estimate {
	all := append(controlEstimates(m), memoryEstimates(m)...)
	return append(append(all, trafficEstimates(m)...), platformEstimates(m)...)
}

// valueAtLargestSize returns the value of a series at the largest size that was measured.
func (m seriesByID) valueAtLargestSize(id string) float64 {
	points := m[id].points
	return points[len(points)-1].value
}

// controlMechanism is what bounds the cost of an entry's control work, and what would reduce it further.
const controlMechanism = "polls stretched to the subset's size and beats on a ring carry it; " +
	"under the budget by polls at a longer interval, or reports on the frames of open streams"

// controlEstimates returns the cost of an entry's control work at the planned size.
func controlEstimates(m seriesByID) []estimate {
	if !m.has(idEntryControl, idEntryTraffic, idEntryControlByEntries, idEntryPeerBytes) {
		return nil
	}
	perEntry := max(0, m.slope(idEntryControlByEntries))
	processor := m.valueAtLargestSize(idEntryControl) + m.base(idEntryControlByEntries) + perEntry*planDaemons
	bytes := m.valueAtLargestSize(idEntryTraffic) + m.slope(idEntryPeerBytes)*planDaemons + m.base(idEntryPeerBytes)
	return []estimate{
		{"entry", "control, processor time", processor, "% of a core", budgetCorePercent, fmt.Sprintf(
			"%.3g measured at 12,000 endpoints listed + %.3g + 1,000 entries × %.3g",
			m.valueAtLargestSize(idEntryControl), m.base(idEntryControlByEntries), perEntry),
			controlMechanism},
		{"entry", "control, traffic", bytes, "bytes/s", budgetTrafficBytes, fmt.Sprintf(
			"%.4g measured at 12,000 endpoints listed + %.4g + 1,000 entries × %.3g",
			m.valueAtLargestSize(idEntryTraffic), m.base(idEntryPeerBytes), m.slope(idEntryPeerBytes)), controlMechanism},
	}
}

// platformEstimates returns the load on the platform, and the time for a change to be in force, at the planned size.
func platformEstimates(m seriesByID) []estimate {
	if !m.has(idPlatformCalls, idPlatformWaiting, idInForce) {
		return nil
	}
	calls := m.base(idPlatformCalls) + m.slope(idPlatformCalls)*planDaemons
	waiting := m.base(idPlatformWaiting) + m.slope(idPlatformWaiting)*planDaemons
	inForce := (m.base(idInForce) + m.slope(idInForce)*planDaemons) / 1e3
	const renewals = float64(planGroups) / renewalSeconds
	return []estimate{
		{"platform", "reads at rest", calls, "calls/s", budgetReads, fmt.Sprintf(
			"%.3g + 1,000 entries × %.3g", m.base(idPlatformCalls), m.slope(idPlatformCalls)), "a few relays for each data centre watch"},
		{"platform", "watches that wait", waiting, "watches", budgetReads, fmt.Sprintf(
			"%.3g + 1,000 entries × %.3g", m.base(idPlatformWaiting), m.slope(idPlatformWaiting)), "the same"},
		{"platform", "writes for leases of groups", renewals, "writes/s", budgetWrites, fmt.Sprintf(
			"%d groups, each renewed every %d s; a count, not a measurement", planGroups, renewalSeconds), "one lease for each group"},
		{"platform", "writes for configuration", float64(planChanges) / secondsPerDay, "writes/s", budgetWrites,
			"13,000 / 86,400 s, one conditional update each; a count", "the audit record is in the same write"},
		{"all daemons", "a change in force everywhere", inForce, "s", budgetInForceSeconds, fmt.Sprintf(
			"%.3g ms + 1,000 entries × %.3g ms; the range measured is small beside 1,000", m.base(idInForce), m.slope(idInForce)),
			"relays push to followers; heartbeats carry the version"},
	}
}

// trafficEstimates returns the processor time for forwarding requests at the planned size.
func trafficEstimates(m seriesByID) []estimate {
	if !m.has(idEntryRequest, idEndpointRequest, idEntryToken, idEndpointToken) {
		return nil
	}
	usage := func(requestID, tokenID string, requests, tokens float64) (float64, string) {
		// 1e4 converts µs of processor time in a second to % of a core.
		request, token := m.base(requestID)/1e4, m.slope(tokenID)
		return requests*request + tokens*token,
			fmt.Sprintf("%.3g requests/s × %.3g µs + %.4g tokens/s × %.3g µs", requests, request*1e4, tokens, token*1e4)
	}
	entry, entryDerivation := usage(idEntryRequest, idEntryToken, entryRequests, entryTokens)
	endpoint, endpointDerivation := usage(idEndpointRequest, idEndpointToken, runnerRequests, runnerTokens)
	return []estimate{
		{"entry", "traffic, processor time", entry, "% of a core", 0, entryDerivation, "frames on one stream a request"},
		{"endpoint process", "traffic, processor time", endpoint, "% of a core", 0, endpointDerivation, "the same"},
	}
}

// memoryEstimates returns the memory of daemons at the planned size.
func memoryEstimates(m seriesByID) []estimate {
	if !m.has(idEntryStream, idEndpointStream, idEntryAccounts, idEntryListedEndpoints) {
		return nil
	}
	streams := openStreams(entryRequests)
	accounts, listed := m.slope(idEntryAccounts), m.slope(idEntryListedEndpoints)
	entry := m.base(idEntryStream) + streams*m.slope(idEntryStream) + planAccounts*accounts + planEndpoints*listed
	endpointStreams := openStreams(runnerRequests)
	endpoint := m.base(idEndpointStream) + endpointStreams*m.slope(idEndpointStream)
	return []estimate{
		{"entry", "resident memory", entry, "bytes", budgetMemoryBytes, fmt.Sprintf(
			"%.3g at rest + %.0f open streams × %.3g + %d accounts × %.3g + %d endpoints listed × %.3g",
			m.base(idEntryStream), streams, m.slope(idEntryStream), planAccounts, accounts, planEndpoints, listed),
			"shared immutable values; a subset of endpoints in use"},
		{"endpoint process", "resident memory, without kept answers", endpoint, "bytes", budgetMemoryBytes, fmt.Sprintf(
			"%.3g at rest + %.0f open streams × %.3g", m.base(idEndpointStream), endpointStreams, m.slope(idEndpointStream)),
			"kept answers are bounded at 96 MiB besides"},
	}
}
