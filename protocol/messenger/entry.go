package messenger

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/evacuation"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// EncodeEntryHeartbeat returns the datagram of a heartbeat between entries. Times are sent in microseconds, the time of
// a crash as its age when the heartbeat is sent.
func EncodeEntryHeartbeat(b peer.Heartbeat) ([]byte, error) {
	m := &wire.EntryBeat{
		Name: b.Name, Start: b.Start, Ready: b.Ready, Leaving: b.Leaving, Version: b.ConfigVersion, Age: b.ConfigAge.Microseconds(),
		VersionEra: b.ConfigEra, Runners: b.RunnersAt.Revision,
		Sent: b.Sent.Microseconds(), Echo: b.Echo.Microseconds(), Held: b.EchoDelay.Microseconds(),
		EchoStart: b.EchoStart, Unreachable: b.StoreUnreachable,
	}
	if b.HasEra {
		m.Era = &b.RunnersAt.Era
	}
	for key, o := range b.InFlight {
		m.Keys = append(m.Keys, key)
		m.Requests = append(m.Requests, uint32(max(0, o.Requests)))
		m.Unread = append(m.Unread, uint32(max(0, o.UnreadTokens)))
	}
	for _, silent := range b.Silences {
		m.Silences = append(m.Silences, &wire.EntrySilence{Name: silent.Name, Start: silent.Start, Ago: silent.Age.Microseconds()})
	}
	for _, c := range b.Crashes {
		m.Crashes = append(m.Crashes, &wire.EntryCrash{
			Fingerprint: string(c.Fingerprint), Runner: c.Runner, Ago: (b.Sent - c.At).Microseconds(), Begun: c.Begun,
		})
	}
	for _, a := range b.Answers {
		m.Answers = append(m.Answers, &wire.EntryAnswer{Fingerprint: string(a.Fingerprint), Ago: (b.Sent - a.At).Microseconds()})
	}
	for _, l := range b.Leavers {
		m.Leavers = append(m.Leavers, l.Runner)
		m.Since = append(m.Since, uint32(max(0, l.Age.Milliseconds())))
	}
	for _, e := range b.Evacuations {
		m.Evacuations = append(m.Evacuations, &wire.EntryEvacuation{
			Centre: e.Centre, Revision: e.Position.Revision, Era: e.Position.Era, Ended: e.Ended,
		})
	}
	for _, e := range b.Parts {
		m.Parts = append(m.Parts, encodePart(e, b.Sent))
	}
	return proto.Marshal(m)
}

func encodePart(e suspect.Evidence, sent time.Duration) *wire.EntryPart {
	m := &wire.EntryPart{Part: uint64(e.Part())}
	for _, l := range e.Losses() {
		m.Runners = append(m.Runners, l.Runner)
		m.Ago = append(m.Ago, (sent - l.At).Microseconds())
	}
	if e.AnsweredAt() != 0 {
		m.Answered = (sent - e.AnsweredAt()).Microseconds() + 1
	}
	return m
}

// decodePart returns the evidence in a message, or an Error of kingcupstile.KindInvalid.
func decodePart(m *wire.EntryPart, sent time.Duration) (suspect.Evidence, error) {
	if len(m.GetAgo()) != len(m.GetRunners()) {
		return suspect.Evidence{}, fault.Newf("decode heartbeat", kingcupstile.KindInvalid, "lists of lost runners and times differ in length")
	}
	losses := make([]suspect.Loss, 0, len(m.GetAgo()))
	for i, ago := range m.GetAgo() {
		losses = append(losses, suspect.Loss{Runner: m.GetRunners()[i], At: sent - fromMicroseconds(ago)})
	}
	answeredAt := time.Duration(0)
	if m.GetAnswered() != 0 {
		answeredAt = sent - fromMicroseconds(m.GetAnswered()-1)
	}
	return suspect.NewEvidence(suspect.Part(m.GetPart()), losses, answeredAt), nil
}

// DecodeEntryHeartbeat returns the heartbeat in a datagram, or an Error of kingcupstile.KindInvalid. The times of
// crashes are on the sender's clock.
func DecodeEntryHeartbeat(datagram []byte) (peer.Heartbeat, error) {
	var m wire.EntryBeat
	if err := proto.Unmarshal(datagram, &m); err != nil {
		return peer.Heartbeat{}, fault.New("decode heartbeat", kingcupstile.KindInvalid, err)
	}
	if len(m.GetRequests()) != len(m.GetKeys()) || len(m.GetUnread()) != len(m.GetKeys()) || len(m.GetLeavers()) != len(m.GetSince()) {
		return peer.Heartbeat{}, fault.Newf("decode heartbeat", kingcupstile.KindInvalid,
			"lists that belong together differ in length")
	}
	b := peer.Heartbeat{
		Name: m.GetName(), Start: m.GetStart(), Ready: m.GetReady(), Leaving: m.GetLeaving(), ConfigVersion: m.GetVersion(),
		ConfigAge: fromMicroseconds(m.GetAge()), RunnersAt: position.New(m.GetEra(), m.GetRunners()),
		ConfigEra: m.GetVersionEra(), HasEra: m.Era != nil, Sent: fromMicroseconds(m.GetSent()),
		Echo: fromMicroseconds(m.GetEcho()), StoreUnreachable: m.GetUnreachable(),
		EchoDelay: fromMicroseconds(m.GetHeld()), EchoStart: m.GetEchoStart(), InFlight: make(map[uint32]peer.InFlight, len(m.GetKeys())),
	}
	for i, key := range m.GetKeys() {
		b.InFlight[key] = peer.InFlight{Requests: int(m.GetRequests()[i]), UnreadTokens: int(m.GetUnread()[i])}
	}
	for _, silent := range m.GetSilences() {
		b.Silences = append(b.Silences, peer.Silence{
			Name: silent.GetName(), Start: silent.GetStart(), Age: max(0, time.Duration(silent.GetAgo())*time.Microsecond),
		})
	}
	for _, c := range m.GetCrashes() {
		b.Crashes = append(b.Crashes, suspect.Crash{
			Fingerprint: suspect.Fingerprint(c.GetFingerprint()), Runner: c.GetRunner(), At: b.Sent - fromMicroseconds(c.GetAgo()),
			Begun: c.GetBegun(),
		})
	}
	for _, a := range m.GetAnswers() {
		b.Answers = append(b.Answers, suspect.Answer{
			Fingerprint: suspect.Fingerprint(a.GetFingerprint()), At: b.Sent - fromMicroseconds(a.GetAgo()),
		})
	}
	for i, key := range m.GetLeavers() {
		b.Leavers = append(b.Leavers, peer.Leaver{Runner: key, Age: time.Duration(m.GetSince()[i]) * time.Millisecond})
	}
	for _, e := range m.GetEvacuations() {
		b.Evacuations = append(b.Evacuations, evacuation.Evacuation{
			Centre: e.GetCentre(), Position: position.New(e.GetEra(), e.GetRevision()), Ended: e.GetEnded(),
		})
	}
	for _, p := range m.GetParts() {
		e, err := decodePart(p, b.Sent)
		if err != nil {
			return peer.Heartbeat{}, err
		}
		b.Parts = append(b.Parts, e)
	}
	return b, nil
}

func fromMicroseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
