package translator

import (
	"encoding/json"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

type suspectDocument struct {
	Fingerprint suspect.Fingerprint `json:"fingerprint"`
	Service     string              `json:"service"`
	Crashed     time.Time           `json:"crashed,omitzero"`
	Cleared     time.Time           `json:"cleared,omitzero"`
	Condemned   time.Time           `json:"condemned,omitzero"`
}

// SuspectCodec implements kingcupstile.SuspectCodec with JSON.
type SuspectCodec struct{}

// Encode returns a table of suspects as JSON.
func (SuspectCodec) Encode(t suspect.Table) ([]byte, error) {
	documents := make([]suspectDocument, 0, t.Len())
	for _, r := range t.Records() {
		documents = append(documents, suspectDocument{
			Fingerprint: r.Fingerprint(), Service: r.Service(),
			Crashed: r.Crashed(), Cleared: r.Cleared(), Condemned: r.CrashedAlone(),
		})
	}
	return json.Marshal(documents)
}

// Decode returns the table of suspects in a JSON document, or an Error of KindInvalid.
func (SuspectCodec) Decode(value []byte) (suspect.Table, error) {
	var documents []suspectDocument
	if err := json.Unmarshal(value, &documents); err != nil {
		return suspect.NewTable(), fault.New("decode suspects", kingcupstile.KindInvalid, err)
	}
	t := suspect.NewTable()
	for _, d := range documents {
		t = t.WithRecord(suspect.NewRecord(d.Fingerprint, suspect.Service(d.Service),
			suspect.Crashed(d.Crashed), suspect.Cleared(d.Cleared), suspect.CrashedAlone(d.Condemned)))
	}
	return t, nil
}
