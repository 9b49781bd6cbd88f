package translator

import (
	"encoding/json"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

type rosterDocument struct {
	Version uint64       `json:"version"`
	VMs     []vmDocument `json:"vms"`
}

type vmDocument struct {
	Name    string        `json:"name"`
	Role    roster.Role   `json:"role"`
	Centre  string        `json:"centre"`
	Pool    string        `json:"pool,omitempty"`
	Group   string        `json:"group,omitempty"`
	Callers string        `json:"callers,omitempty"`
	Peers   string        `json:"peers"`
	Status  roster.Status `json:"status"`
}

// EncodeVM returns one row of the platform's VM list as JSON.
func EncodeVM(v roster.VM) ([]byte, error) { return json.Marshal(encodeVM(v)) }

// DecodeVM returns the VM that JSON describes, or an Error of KindInvalid.
func DecodeVM(value []byte) (roster.VM, error) {
	var document vmDocument
	if err := json.Unmarshal(value, &document); err != nil {
		return roster.VM{}, fault.New("decode VM", kingcupstile.KindInvalid, err)
	}
	return decodeVM(document), nil
}

// EncodeRoster returns the platform's VM list as JSON.
func EncodeRoster(r roster.Roster) ([]byte, error) {
	document := rosterDocument{Version: r.Version()}
	for _, v := range r.VMs() {
		document.VMs = append(document.VMs, encodeVM(v))
	}
	return json.Marshal(document)
}

// DecodeRoster returns the VM list in a JSON document, or an Error of KindInvalid.
func DecodeRoster(value []byte) (roster.Roster, error) {
	var document rosterDocument
	if err := json.Unmarshal(value, &document); err != nil {
		return roster.Roster{}, fault.New("decode VM list", kingcupstile.KindInvalid, err)
	}
	vms := make([]roster.VM, len(document.VMs))
	for i, v := range document.VMs {
		vms[i] = decodeVM(v)
	}
	return roster.New(document.Version, vms...), nil
}

func encodeVM(v roster.VM) vmDocument {
	return vmDocument{
		Name: v.Name(), Role: v.Role(), Centre: v.Centre(), Pool: v.Pool(), Group: v.Group(),
		Callers: v.CallerAddress(), Peers: v.PeerAddress(), Status: v.Status(),
	}
}

func decodeVM(v vmDocument) roster.VM {
	return roster.NewVM(v.Name, v.Role,
		roster.Centre(v.Centre),
		roster.Pool(v.Pool),
		roster.Group(v.Group),
		roster.CallerAddress(v.Callers),
		roster.PeerAddress(v.Peers),
		roster.InStatus(v.Status),
	)
}
