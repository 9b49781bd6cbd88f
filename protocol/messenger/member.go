package messenger

import (
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/member"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// EncodeHeartbeat returns the message for a heartbeat.
func EncodeHeartbeat(b member.Heartbeat) *wire.Beat {
	m := &wire.Beat{
		Name: b.Name(), Life: b.Incarnation(), Address: b.Address(),
		Held: b.HeldVersion(), Highest: b.HighestVersion(), Roster: b.RosterVersion(),
		Age: encodeAge(b.Age()), Leaving: b.IsLeaving(), Established: b.IsEstablished(),
	}
	for _, d := range b.Departures() {
		m.Departures = append(m.Departures, &wire.Departure{Name: d.Name(), Life: d.Incarnation()})
	}
	return m
}

// DecodeHeartbeat returns the heartbeat in a message.
func DecodeHeartbeat(m *wire.Beat) member.Heartbeat {
	departures := make([]member.Departure, len(m.GetDepartures()))
	for i, d := range m.GetDepartures() {
		departures[i] = member.NewDeparture(d.GetName(), d.GetLife())
	}
	return member.New(m.GetName(),
		member.Incarnation(m.GetLife()),
		member.Address(m.GetAddress()),
		member.Versions(m.GetHeld(), m.GetHighest(), m.GetRoster()),
		member.Age(decodeAge(m.GetAge())),
		member.Leaving(m.GetLeaving()),
		member.Established(m.GetEstablished()),
		member.Departures(departures...),
	)
}

// EncodeRosterChange returns the message for a change of the VM list.
func EncodeRosterChange(c roster.Change) *wire.RosterReply {
	m := &wire.RosterReply{From: c.From(), To: c.To(), Gone: c.Removed()}
	for _, vm := range c.VMs() {
		m.Vms = append(m.Vms, &wire.VM{
			Name: vm.Name(), Role: string(vm.Role()), Centre: vm.Centre(), Pool: vm.Pool(),
			Callers: vm.CallerAddress(), Peers: vm.PeerAddress(), Status: string(vm.Status()),
		})
	}
	return m
}

// DecodeRosterChange returns the change of the VM list in a message.
func DecodeRosterChange(m *wire.RosterReply) roster.Change {
	vms := make([]roster.VM, len(m.GetVms()))
	for i, vm := range m.GetVms() {
		vms[i] = roster.NewVM(vm.GetName(), roster.Role(vm.GetRole()),
			roster.Centre(vm.GetCentre()), roster.Pool(vm.GetPool()),
			roster.CallerAddress(vm.GetCallers()), roster.PeerAddress(vm.GetPeers()),
			roster.InStatus(roster.Status(vm.GetStatus())),
		)
	}
	return roster.NewChange(m.GetFrom(), m.GetTo(), vms, m.GetGone())
}

// EncodeEntryState returns the message for the state that an entry reports to operators.
func EncodeEntryState(s member.Status) *wire.StateReply {
	return &wire.StateReply{
		Name: s.Name, Version: s.Version, Highest: s.Highest, Roster: s.Roster, Age: encodeAge(s.Age),
		Established: s.Established, Relay: s.Relay, Leaving: s.Leaving, Alive: int32(s.Alive), Departed: s.Departed,
	}
}

// DecodeEntryState returns the state of an entry in a message.
func DecodeEntryState(m *wire.StateReply) member.Status {
	return member.Status{
		Name: m.GetName(), Version: m.GetVersion(), Highest: m.GetHighest(), Roster: m.GetRoster(), Age: decodeAge(m.GetAge()),
		Established: m.GetEstablished(), Relay: m.GetRelay(), Leaving: m.GetLeaving(),
		Alive: int(m.GetAlive()), Departed: m.GetDeparted(),
	}
}

// encodeAge returns an age in milliseconds plus one; 0 stands for member.Never.
func encodeAge(d time.Duration) uint64 {
	if d == member.Never {
		return 0
	}
	return uint64(d.Milliseconds()) + 1
}

func decodeAge(milliseconds uint64) time.Duration {
	if milliseconds == 0 {
		return member.Never
	}
	return time.Duration(milliseconds-1) * time.Millisecond
}
