package translator

import (
	"encoding/json"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/peer"
)

// PeerCodec encodes and decodes the registrations of entries as JSON.
type PeerCodec struct{}

// peerDocument is the registration of an entry in the store.
type peerDocument struct {
	Name    string `json:"name"`
	Start   int64  `json:"start"`
	Callers string `json:"callers"`
	Beats   string `json:"beats"`
	Centre  string `json:"centre"`
	Region  string `json:"region"`
}

// EncodePeer returns the JSON value to store.
func (PeerCodec) EncodePeer(p peer.Peer) ([]byte, error) { return json.Marshal(peerDocument(p)) }

// DecodePeer returns the entry that a stored value describes, or an Error of KindInvalid.
func (PeerCodec) DecodePeer(value []byte) (peer.Peer, error) {
	var p peerDocument
	if err := json.Unmarshal(value, &p); err != nil {
		return peer.Peer{}, fault.New("read entry", kingcupstile.KindInvalid, err)
	}
	if p.Name == "" || p.Start == 0 || p.Callers == "" || p.Beats == "" {
		return peer.Peer{}, fault.Newf("read entry", kingcupstile.KindInvalid, "name, start, or the address for callers or heartbeats is missing")
	}
	return peer.Peer(p), nil
}
