package overseer

import (
	"slices"
	"time"
)

// MaxAddresses is how many addresses a lookup answer holds at most; callers use no more of one answer.
const MaxAddresses = 64

// minAddresses is how many addresses an answer should hold, so that callers of an entry that fails have another one.
const minAddresses = 2

// Addresses returns the sorted caller addresses for a data centre and region: of ready entries in the data centre if
// there are at least minAddresses, else in the region, else anywhere. If no entry is ready, it returns the addresses of
// all registered entries.
func (s State) Addresses(centre, region string, now time.Duration) []string {
	var inCentre, inRegion, all, registered []string
	add := func(address, c, r string, ready bool) {
		registered = append(registered, address)
		if !ready {
			return
		}
		all = append(all, address)
		if r == region {
			inRegion = append(inRegion, address)
		}
		if c == centre {
			inCentre = append(inCentre, address)
		}
	}
	add(s.self.Callers, s.self.Centre, s.self.Region, s.IsReady(now))
	for _, e := range s.peers {
		add(e.peer.Callers, e.peer.Centre, e.peer.Region, e.isUsable(now, s.heartbeatTimeout()))
	}
	for _, list := range [][]string{inCentre, inRegion, all} {
		if len(list) >= minAddresses {
			return sorted(list)
		}
	}
	if len(all) > 0 {
		return sorted(all)
	}
	return sorted(registered)
}

// isUsable reports whether callers may be sent to an entry. A newly listed entry counts as usable until its first
// heartbeat is overdue.
func (e entry) isUsable(now, heartbeatTimeout time.Duration) bool {
	if e.heardAt == 0 {
		return now-e.listedAt < heartbeatTimeout
	}
	return e.heartbeat.Ready && !e.heartbeat.Leaving && now-e.heardAt < heartbeatTimeout
}

// sorted sorts list in place and returns at most MaxAddresses of it.
func sorted(list []string) []string {
	slices.Sort(list)
	return list[:min(len(list), MaxAddresses)]
}
