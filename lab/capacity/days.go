package capacity

import "fmt"

// failureScenario is the burst of work that a failure causes, and how it was derived.
type failureScenario struct {
	event      string
	burst      string
	derivation string
}

// row returns the scenario as a row of a Markdown table.
func (s failureScenario) row() string {
	return fmt.Sprintf("| %s | %s | %s |", s.event, s.burst, s.derivation)
}

// failureScenarios returns the failures to plan for, given the measured number of platform calls for one start. It
// returns none if that was not measured.
func failureScenarios(m seriesByID) []failureScenario {
	if !m.has(idStartCalls) {
		return nil
	}
	start := m.slope(idStartCalls)
	streams := openStreams(entryRequests)
	rack := float64(rackVMs) * planDaemons / planVMs
	restart := func(daemons float64) string {
		return fmt.Sprintf("%.0f platform calls to start %.0f entries again; %.0f requests/s and %.0f open streams move to others",
			daemons*start, daemons, daemons*entryRequests, daemons*streams)
	}
	region := float64(regionDaemons)
	return []failureScenario{
		{
			"1,900 restarts or replacements a day",
			fmt.Sprintf("%.3g platform calls a second on average", planRestarts*start/secondsPerDay),
			fmt.Sprintf("%d × %.3g calls a start / 86,400 s", planRestarts, start),
		},
		{fmt.Sprintf("a rack of %d VMs lost", rackVMs), restart(rack),
			fmt.Sprintf("%d × 1,000/13,000 = %.1f entries; %.3g calls a start; %.0f open streams an entry", rackVMs, rack, start, streams)},
		{"a data centre lost", restart(centreDaemons),
			fmt.Sprintf("1,000/11 = %d entries, 12,000/11 = %d endpoints", centreDaemons, planEndpoints/planCentres)},
		{"a region cut off for an hour, and back", fmt.Sprintf(
			"%.0f entries ask for what changed: %.0f changes of configuration and as many VM list versions as were made",
			region, float64(planChanges)/24),
			"1,000/4 entries; 13,000/24 changes an hour; fetched once a relay, then from relays"},
	}
}
