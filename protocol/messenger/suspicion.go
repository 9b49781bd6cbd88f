package messenger

import (
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// EncodeSuspects returns a message for each record in a table of suspect requests.
func EncodeSuspects(t suspect.Table) []*wire.Suspicion {
	messages := make([]*wire.Suspicion, 0, t.Len())
	for _, r := range t.Records() {
		messages = append(messages, &wire.Suspicion{
			Fingerprint: string(r.Fingerprint()),
			Service:     r.Service(),
			Crashed:     encodeTime(r.Crashed()),
			Cleared:     encodeTime(r.Cleared()),
			Condemned:   encodeTime(r.CrashedAlone()),
		})
	}
	return messages
}

// DecodeSuspects returns the table of the suspect requests in messages.
func DecodeSuspects(messages []*wire.Suspicion) suspect.Table {
	t := suspect.NewTable()
	for _, m := range messages {
		t = t.WithRecord(suspect.NewRecord(suspect.Fingerprint(m.GetFingerprint()),
			suspect.Service(m.GetService()),
			suspect.Crashed(decodeTime(m.GetCrashed())),
			suspect.Cleared(decodeTime(m.GetCleared())),
			suspect.CrashedAlone(decodeTime(m.GetCondemned())),
		))
	}
	return t
}

func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func decodeTime(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}
