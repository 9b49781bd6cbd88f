package overseer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupstile/kingcupstile/state/peer"
)

// MaxAddresses is how many addresses a lookup answer holds at most; callers use no more of one answer.
const MaxAddresses = 64

// minAddresses is how many addresses an answer should hold, so that callers of an entry that fails have another one.
const minAddresses = 2

// Addresses returns the sorted caller addresses for a data centre and region: of ready entries in the data centre if
// there are at least minAddresses, else in the region, else anywhere. If no entry is ready, it returns the addresses of
// all present entries, or of all registered ones if no other is present, as this one may be cut off from them.
func (s State) Addresses(centre, region string, now time.Duration) []string {
	var inCentre, inRegion, all []string
	add := func(p peer.Peer) {
		all = append(all, p.Callers)
		if p.Region == region {
			inRegion = append(inRegion, p.Callers)
		}
		if p.Centre == centre {
			inCentre = append(inCentre, p.Callers)
		}
	}
	if s.IsReady(now) {
		add(s.self)
	}
	for _, e := range s.others() {
		if s.isUsable(e, now) {
			add(e.peer)
		}
	}
	for _, list := range [][]string{inCentre, inRegion, all} {
		if len(list) >= minAddresses {
			return s.selected(list)
		}
	}
	if len(all) > 0 {
		return s.selected(all)
	}
	return s.unreadyAddresses(now)
}

// unreadyAddresses returns the caller addresses of all present entries, or of all registered ones if no other is present.
func (s State) unreadyAddresses(now time.Duration) []string {
	present, registered := []string{s.self.Callers}, []string{s.self.Callers}
	for _, e := range s.others() {
		registered = append(registered, e.peer.Callers)
		if s.isPresent(e, now) {
			present = append(present, e.peer.Callers)
		}
	}
	if len(present) >= minAddresses {
		return s.selected(present)
	}
	return s.selected(registered)
}

// isUsable reports whether callers may be sent to an entry. A newly listed entry counts as usable until its first
// heartbeat is overdue.
func (s State) isUsable(e entry, now time.Duration) bool {
	if e.heardAt == 0 {
		return s.isPresent(e, now)
	}
	return s.isLive(e, now) && e.heartbeat.Ready && !e.heartbeat.Leaving
}

// selected sorts list in place and returns at most MaxAddresses of it. Of more, each entry selects others, so that all of
// them get callers.
func (s State) selected(list []string) []string {
	slices.Sort(list)
	if len(list) <= MaxAddresses {
		return list
	}
	start := int(xxhash.Sum64String(s.self.Name) % uint64(len(list)))
	list = slices.Concat(list[start:], list[:start])[:MaxAddresses]
	slices.Sort(list)
	return list
}
