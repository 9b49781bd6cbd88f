package load

import (
	"fmt"
	"io"
	"slices"
	"time"
)

const (
	warmUp           = 30 * time.Second
	measuredDuration = 30 * time.Second
	surgeDuration    = 20 * time.Second
	surgeLoad        = 4.0
	baseLoad         = 0.8
	// recoveryRatio is the part of the offered requests that must be answered in time, over recoveryWindowSeconds, for the
	// endpoints to count as recovered.
	recoveryRatio         = 0.9
	recoveryWindowSeconds = 3
)

var loads = []float64{0.5, 1, 1.5, 2, 4}

// surge compares the goodput of policies at several loads, and the time that each takes to recover from a surge.
func surge(out io.Writer) error {
	table(out, fmt.Sprintf("Goodput in requests a second, capacity %.0f, seed %d", capacity, seed),
		"policy", "0.5", "1", "1.5", "2", "4", "4 over peak", "p95 at 4", "recovered after a surge")
	for _, p := range policies() {
		cells := append(make([]string, 0, len(loads)+4), p.name)
		peak, last := 0.0, 0.0
		var tail time.Duration
		for _, load := range loads {
			last, tail = goodput(p, load)
			peak = max(peak, last)
			cells = append(cells, fmt.Sprintf("%.0f", last))
		}
		cells = append(cells, fmt.Sprintf("%.2f", last/peak), tail.Round(time.Millisecond).String(), recovery(p))
		row(out, cells...)
	}
	return nil
}

// goodput returns the requests a second that are answered in time at a load, and the 95th percentile of their latency
// from the first attempt on.
func goodput(p policy, load float64) (float64, time.Duration) {
	s := newAdmissionSimulation(p)
	s.generateLoad("all", func() float64 { return load * capacity })
	s.clock.runFor(warmUp)
	s.answered, s.latency = map[string]int{}, nil
	s.clock.runFor(measuredDuration)
	slices.Sort(s.latency)
	return float64(s.answered["all"]) / measuredDuration.Seconds(), s.latency[len(s.latency)*95/100]
}

// recovery returns the time after the end of a surge from which goodput stays at recoveryRatio of the offered load or
// above.
func recovery(p policy) string {
	s := newAdmissionSimulation(p)
	load := baseLoad
	s.generateLoad("all", func() float64 { return load * capacity })
	s.clock.runFor(warmUp)
	load = surgeLoad
	s.clock.runFor(surgeDuration)
	load = baseLoad
	end := int(s.clock.elapsed() / second)
	s.clock.runFor(measuredDuration)
	for after := int(measuredDuration/second) - recoveryWindowSeconds; after >= 0; after-- {
		good := 0
		for i := range recoveryWindowSeconds {
			good += s.answeredBySecond[end+after+i]
		}
		if float64(good) < recoveryRatio*baseLoad*capacity*recoveryWindowSeconds {
			if after == int(measuredDuration/second)-recoveryWindowSeconds {
				return fmt.Sprintf("not in %s", measuredDuration)
			}
			return fmt.Sprintf("%d s", after+1)
		}
	}
	return "0 s"
}
