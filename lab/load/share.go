package load

import (
	"fmt"
	"io"
)

const (
	smallAccounts = 9
	smallLoad     = 0.3
	largeLoad     = 3.7
)

// share lets one account overload the endpoints, and shows which part of each account's requests is answered in time.
func share(out io.Writer) error {
	table(out, fmt.Sprintf("Answered in time while one account sends %.1f times the capacity and %d small ones %.1f together, seed %d",
		largeLoad, smallAccounts, smallLoad, seed), "policy", "small accounts", "worst small account", "large account", "all, of capacity")
	for _, p := range policies() {
		s := newAdmissionSimulation(p)
		s.generateLoad("large", func() float64 { return largeLoad * capacity })
		for i := range smallAccounts {
			s.generateLoad(fmt.Sprint("small-", i), func() float64 { return smallLoad * capacity / smallAccounts })
		}
		s.clock.runFor(warmUp)
		s.answered, s.offered = map[string]int{}, map[string]int{}
		s.clock.runFor(measuredDuration)
		good, offered, worst := 0, 0, 1.0
		for i := range smallAccounts {
			name := fmt.Sprint("small-", i)
			good, offered = good+s.answered[name], offered+s.offered[name]
			worst = min(worst, float64(s.answered[name])/float64(s.offered[name]))
		}
		row(out, p.name, percent(good, offered), fmt.Sprintf("%.1f%%", 100*worst), percent(s.answered["large"], s.offered["large"]),
			fmt.Sprintf("%.1f%%", 100*float64(good+s.answered["large"])/measuredDuration.Seconds()/capacity))
	}
	return nil
}

func percent(part, whole int) string { return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole)) }
