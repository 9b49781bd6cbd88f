package translator

import (
	"encoding/json"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/peer"
)

// Peers encodes what entries register and tell each other.
type Peers struct{}

// peerText is a registration in the store.
type peerText struct {
	Name    string `json:"name"`
	Start   int64  `json:"start"`
	Callers string `json:"callers"`
	Beats   string `json:"beats"`
	Centre  string `json:"centre"`
	Region  string `json:"region"`
}

// EncodePeer returns the JSON value to store.
func (Peers) EncodePeer(p peer.Peer) ([]byte, error) { return json.Marshal(peerText(p)) }

// DecodePeer returns the entry that a value holds, or an Error of KindInvalid.
func (Peers) DecodePeer(value []byte) (peer.Peer, error) {
	var p peerText
	if err := json.Unmarshal(value, &p); err != nil {
		return peer.Peer{}, fault.New("read entry", kingcupstile.KindInvalid, err)
	}
	if p.Name == "" || p.Start == 0 || p.Callers == "" || p.Beats == "" {
		return peer.Peer{}, fault.Newf("read entry", kingcupstile.KindInvalid, "name, start or an address is missing")
	}
	return peer.Peer(p), nil
}

// beatText is a heartbeat; names are short, as it goes to every entry several times a second.
type beatText struct {
	Name    string            `json:"n"`
	Start   int64             `json:"s"`
	Ready   bool              `json:"r,omitempty"`
	Leaving bool              `json:"l,omitempty"`
	Version uint64            `json:"v,omitempty"`
	Open    map[string][2]int `json:"o,omitempty"`
}

// EncodeBeat returns a heartbeat's datagram.
func (Peers) EncodeBeat(b peer.Beat) ([]byte, error) {
	t := beatText{Name: b.Name, Start: b.Start, Ready: b.Ready, Leaving: b.Leaving, Version: b.Version}
	if len(b.Open) > 0 {
		t.Open = make(map[string][2]int, len(b.Open))
		for id, o := range b.Open {
			t.Open[id] = [2]int{o.Requests, o.Unread}
		}
	}
	return json.Marshal(t)
}

// DecodeBeat returns the heartbeat of a datagram, or an Error of KindInvalid.
func (Peers) DecodeBeat(datagram []byte) (peer.Beat, error) {
	var t beatText
	if err := json.Unmarshal(datagram, &t); err != nil {
		return peer.Beat{}, fault.New("read heartbeat", kingcupstile.KindInvalid, err)
	}
	b := peer.Beat{Name: t.Name, Start: t.Start, Ready: t.Ready, Leaving: t.Leaving, Version: t.Version}
	if len(t.Open) > 0 {
		b.Open = make(map[string]peer.Open, len(t.Open))
		for id, o := range t.Open {
			b.Open[id] = peer.Open{Requests: o[0], Unread: o[1]}
		}
	}
	return b, nil
}
