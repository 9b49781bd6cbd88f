package messenger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// EncodeEntryBeat returns a heartbeat's datagram.
func EncodeEntryBeat(b peer.Heartbeat) ([]byte, error) {
	m := &wire.EntryBeat{
		Name: b.Name, Start: b.Start, Ready: b.Ready, Leaving: b.Leaving, Version: b.ConfigVersion, Age: b.ConfigAge.Microseconds(),
		Runners: b.RunnersRevision, Sent: b.Sent.Microseconds(), Echo: b.Echo.Microseconds(), Held: b.EchoDelay.Microseconds(),
		EchoStart: b.EchoStart,
	}
	for key, o := range b.InFlight {
		m.Keys = append(m.Keys, key)
		m.Requests = append(m.Requests, uint32(max(0, o.Requests)))
		m.Unread = append(m.Unread, uint32(max(0, o.UnreadTokens)))
	}
	for _, c := range b.Crashes {
		m.Crashes = append(m.Crashes, &wire.EntryCrash{
			Fingerprint: string(c.Fingerprint), Runner: c.Runner, Ago: (b.Sent - c.At).Microseconds(),
		})
	}
	return proto.Marshal(m)
}

// DecodeEntryBeat returns the heartbeat of a datagram, or an Error of KindInvalid.
func DecodeEntryBeat(datagram []byte) (peer.Heartbeat, error) {
	var m wire.EntryBeat
	if err := proto.Unmarshal(datagram, &m); err != nil {
		return peer.Heartbeat{}, fault.New("read heartbeat", kingcupstile.KindInvalid, err)
	}
	if len(m.GetRequests()) != len(m.GetKeys()) || len(m.GetUnread()) != len(m.GetKeys()) {
		return peer.Heartbeat{}, fault.Newf("read heartbeat", kingcupstile.KindInvalid, "lists of different lengths")
	}
	b := peer.Heartbeat{
		Name: m.GetName(), Start: m.GetStart(), Ready: m.GetReady(), Leaving: m.GetLeaving(), ConfigVersion: m.GetVersion(),
		ConfigAge: microseconds(m.GetAge()), RunnersRevision: m.GetRunners(), Sent: microseconds(m.GetSent()), Echo: microseconds(m.GetEcho()),
		EchoDelay: microseconds(m.GetHeld()), EchoStart: m.GetEchoStart(), InFlight: make(map[uint32]peer.InFlight, len(m.GetKeys())),
	}
	for i, key := range m.GetKeys() {
		b.InFlight[key] = peer.InFlight{Requests: int(m.GetRequests()[i]), UnreadTokens: int(m.GetUnread()[i])}
	}
	for _, c := range m.GetCrashes() {
		b.Crashes = append(b.Crashes, suspect.Crash{
			Fingerprint: suspect.Fingerprint(c.GetFingerprint()), Runner: c.GetRunner(), At: b.Sent - microseconds(c.GetAgo()),
		})
	}
	return b, nil
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
