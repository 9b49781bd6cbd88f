package overseer

import (
	"slices"
	"time"
)

// MaxAddresses is the most addresses that callers use of one answer.
const MaxAddresses = 64

// fewest is how many addresses an answer should have, so that the loss of an entry leaves its callers others.
const fewest = 2

// Addresses returns where callers in a data centre and region should connect: entries of the data centre if there are
// enough of them, else of the region, else all. Entries that are not ready are named only when nobody is.
func (s State) Addresses(centre, region string, now time.Duration) []string {
	var near, regional, all, registered []string
	add := func(address, c, r string, ready bool) {
		registered = append(registered, address)
		if !ready {
			return
		}
		all = append(all, address)
		if r == region {
			regional = append(regional, address)
		}
		if c == centre {
			near = append(near, address)
		}
	}
	add(s.self.Callers, s.self.Centre, s.self.Region, s.IsReady(now))
	for _, e := range s.peers {
		add(e.peer.Callers, e.peer.Centre, e.peer.Region, e.isUsable(now, s.silence()))
	}
	for _, list := range [][]string{near, regional, all} {
		if len(list) >= fewest {
			return sorted(list)
		}
	}
	if len(all) > 0 {
		return sorted(all)
	}
	return sorted(registered)
}

// isUsable reports whether callers may be sent to an entry; a new one is given time for its first beat.
func (e entry) isUsable(now, silence time.Duration) bool {
	if e.heard == 0 {
		return now-e.since < silence
	}
	return e.beat.Ready && !e.beat.Leaving && now-e.heard < silence
}

func sorted(list []string) []string {
	slices.Sort(list)
	return list[:min(len(list), MaxAddresses)]
}
