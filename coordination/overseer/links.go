package overseer

import (
	"slices"
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/linker"
	"github.com/kingcupstile/kingcupstile/state/peer"
)

const (
	// linkTimeout is how long a linked entry may send no heartbeat before it counts as silent: five are missing then.
	linkTimeout = maxMissedHeartbeats * minHeartbeatInterval
	// maxReportAge is how long a report that an entry is silent counts, and is passed on.
	maxReportAge = 2 * time.Second
	// minSilence is how long this entry must itself not have heard from another one to believe that it is silent.
	minSilence = 800 * time.Millisecond
	// maxSilences bounds the silent entries in one heartbeat, so that it fits into a datagram when a data centre is lost.
	maxSilences = 40
	// refuteTime is for how long an entry that is reported silent sends heartbeats to all others.
	refuteTime = 2 * minHeartbeatInterval
)

// report is another entry's report that an entry is silent.
type report struct {
	from string
	at   time.Duration
}

// IsLinked reports whether there are so many entries that news travel along links.
func (s State) IsLinked() bool { return len(s.peers)+1 > maxDirectEntries }

// isLive reports whether an entry was heard from within the heartbeat timeout, since its latest registered start, and is
// not known to be silent.
func (s State) isLive(e entry, now time.Duration) bool {
	return e.heardAt > 0 && e.heardAt > e.silentAt && now-e.heardAt < s.heartbeatTimeout() && e.heartbeat.Start == e.peer.Start
}

// isPresent reports whether an entry is live, or was listed so recently that its first heartbeat may be under way.
func (s State) isPresent(e entry, now time.Duration) bool {
	return s.isLive(e, now) || e.heardAt == 0 && e.silentAt == 0 && !e.isUnproved && now-e.listedAt < s.heartbeatTimeout()
}

// links returns this entry's links among the present entries.
func (s State) links(now time.Duration) linker.Links {
	names := []string{s.self.Name}
	for _, e := range s.others() {
		if s.isPresent(e, now) {
			names = append(names, e.peer.Name)
		}
	}
	slices.Sort(names)
	return linker.New(names, s.self.Name)
}

// Linked returns the registrations of the entries that get heartbeats at the shortest interval: the linked ones or, if
// there are only a few, all.
func (s State) Linked(now time.Duration) []peer.Peer {
	if !s.IsLinked() || s.suspectedAt > 0 && now-s.suspectedAt < refuteTime {
		return s.Peers()
	}
	return s.registrations(s.links(now).All())
}

// Parents returns the registrations of the entries from whose copies this one reads the runners and entries, none if it
// is to read them from the store.
func (s State) Parents(now time.Duration) []peer.Peer {
	if !s.IsLinked() || s.IsRelay(now) {
		return nil
	}
	return s.registrations(s.links(now).Parents)
}

// withLinks records which entries became linked to this one, so that those that were not linked before get time to send
// their first heartbeats.
func (s State) withLinks(at time.Duration) State {
	if !s.IsLinked() {
		return s
	}
	linked := s.links(at).All()
	for name, e := range s.others() {
		switch is := slices.Contains(linked, name); {
		case is && e.linkedAt == 0:
			e.linkedAt = at
			s = s.withEntry(e)
		case !is && e.linkedAt != 0:
			e.linkedAt = 0
			s = s.withEntry(e)
		}
	}
	return s
}

func (s State) registrations(names []string) []peer.Peer {
	list := make([]peer.Peer, 0, len(names))
	for _, name := range names {
		if e, found := s.find(name); found {
			list = append(list, e.peer)
		}
	}
	return list
}

// withRelayedOutage takes in that an entry whose copies this one reads gets no answers from the store: registrations that
// are missing afterwards may have lapsed in the outage.
func (s State) withRelayedOutage(b peer.Heartbeat, at time.Duration) State {
	if b.StoreUnreachable && s.IsLinked() && !s.IsRelay(at) && slices.Contains(s.links(at).Parents, b.Name) {
		s, _ = s.withStoreUnreachable(at)
	}
	return s
}

// LinkInterval returns the interval at which an entry sends heartbeats to those that it is linked to.
func (s State) LinkInterval() time.Duration { return minHeartbeatInterval }

// silences returns the entries to report as silent: linked ones that sent no heartbeat for linkTimeout, and those that
// others report.
func (s State) silences(now time.Duration) []peer.Silence {
	if !s.IsLinked() {
		return nil
	}
	var list []peer.Silence
	for _, name := range s.links(now).All() {
		if e, found := s.find(name); found && e.isLinkSilent(now) {
			list = withSilence(list, e, now-e.linkSilentAt())
		}
	}
	for _, e := range s.others() {
		if e.silentAt > e.heardAt && now-e.silentAt < maxReportAge {
			list = withSilence(list, e, now-e.silentSince)
		}
	}
	return list
}

// withAllSilences adds all entries of which this one was told that they are silent, however long ago, to those that are reported now: an
// entry that joins did not hear the reports of before. Of more than fit into a heartbeat, each one holds others. What this entry only
// concludes from its own clock is not reported, as it may have been away itself.
func (s State) withAllSilences(list []peer.Silence, now time.Duration) []peer.Silence {
	if !s.IsLinked() {
		return list
	}
	list = slices.Clip(list)
	for _, e := range s.others() {
		if e.silentAt > e.heardAt {
			list = withSilence(list, e, now-e.silentSince)
		}
	}
	return list
}

// withSilence adds an entry to those that are reported as silent, unless it is among them or they fill a heartbeat.
func withSilence(list []peer.Silence, e entry, age time.Duration) []peer.Silence {
	isListed := func(other peer.Silence) bool { return other.Name == e.peer.Name }
	if len(list) >= maxSilences || slices.ContainsFunc(list, isListed) {
		return list
	}
	return append(list, peer.Silence{Name: e.peer.Name, Start: e.peer.Start, Age: max(0, age)})
}

// isJoining reports whether an entry was listed, or heard from again, so recently that it may take silent ones for present.
func (s State) isJoining(e entry, now time.Duration) bool {
	return now-max(e.listedAt, e.rejoinedAt) < s.heartbeatTimeout()
}

// wasSilent reports whether a heartbeat that comes now is the first one, or follows on a silence.
func (e entry) wasSilent(now time.Duration) bool {
	return e.heardAt == 0 || e.silentAt > e.heardAt || e.linkedAt > 0 && e.isLinkSilent(now)
}

// isLinkSilent reports whether a linked entry is silent. It has as long from when it was listed, or was linked after the
// silence of another was noticed, as between two heartbeats.
func (e entry) isLinkSilent(now time.Duration) bool { return now > e.linkSilentAt() }

// linkSilentAt returns when a linked entry is silent unless it is heard from before.
func (e entry) linkSilentAt() time.Duration {
	return max(e.heardAt, e.listedAt, e.linkedAt) + linkTimeout
}

// withSilences takes in which entries another one reports as silent. An entry is silent once two others report it, or one
// and this one is linked to it and would report it too, and this one has not heard from it for a while, nor since the silence was noticed.
func (s State) withSilences(b peer.Heartbeat, at time.Duration) State {
	for _, silence := range b.Silences {
		if silence.Name == s.self.Name {
			if silence.Start == s.self.Start {
				s.suspectedAt = at
			}
			continue
		}
		e, found := s.find(silence.Name)
		since := at - silence.Age
		if !found || e.peer.Start != silence.Start || e.silentAt > e.heardAt || e.heardAt > 0 && since <= e.heardAt {
			continue
		}
		e = e.withReport(report{from: b.Name, at: at})
		isReportedTwice := e.reporters[1].from != "" && at-e.reporters[1].at < maxReportAge
		if (isReportedTwice || e.linkedAt > 0 && e.isLinkSilent(at)) && at-e.heardAt > minSilence {
			e.silentAt, e.silentSince = at, since
		}
		s = s.withEntry(e)
	}
	return s
}

// withReport returns the entry with the last two reports from different entries, the newest first.
func (e entry) withReport(r report) entry {
	if e.reporters[0].from != r.from {
		e.reporters[1] = e.reporters[0]
	}
	e.reporters[0] = r
	return e
}
