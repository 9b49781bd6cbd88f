package messenger

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// Probe is a datagram to the process beside a runner: a question for the runner's open requests or, with Announce set,
// the announcement of one more.
type Probe struct {
	// ID identifies the question in its reply.
	ID       uint64
	Announce bool
}

// ProbeReply is the reply to a probe, with the runner's load.
type ProbeReply struct {
	ID   uint64
	Load rank.Load
}

// EncodeProbe returns the datagram of a probe.
func EncodeProbe(p Probe) ([]byte, error) {
	return proto.Marshal(&wire.LoadProbe{Id: p.ID, Announce: p.Announce})
}

// DecodeProbe returns the probe in a datagram, or an Error of kingcupstile.KindInvalid.
func DecodeProbe(datagram []byte) (Probe, error) {
	var m wire.LoadProbe
	if err := proto.Unmarshal(datagram, &m); err != nil {
		return Probe{}, fault.New("decode probe", kingcupstile.KindInvalid, err)
	}
	return Probe{ID: m.GetId(), Announce: m.GetAnnounce()}, nil
}

// EncodeProbeReply returns the datagram of a reply to a probe.
func EncodeProbeReply(r ProbeReply) ([]byte, error) {
	return proto.Marshal(&wire.LoadReply{
		Id: r.ID, Open: uint32(max(0, r.Load.Open)), Epoch: r.Load.Epoch, Step: r.Load.Step, Formed: r.Load.GroupOpen,
		Cold: coldMilliseconds(r.Load.Cold), Recent: uint32(min(max(0, r.Load.Recent), math.MaxUint32)),
	})
}

// DecodeProbeReply returns the reply in a datagram, or an Error of kingcupstile.KindInvalid.
func DecodeProbeReply(datagram []byte) (ProbeReply, error) {
	var m wire.LoadReply
	if err := proto.Unmarshal(datagram, &m); err != nil {
		return ProbeReply{}, fault.New("decode reply to probe", kingcupstile.KindInvalid, err)
	}
	return ProbeReply{ID: m.GetId(), Load: rank.Load{
		Open: int(m.GetOpen()), Epoch: m.GetEpoch(), Step: m.GetStep(), GroupOpen: m.GetFormed(),
		Cold: time.Duration(m.GetCold()) * time.Millisecond, Recent: int(m.GetRecent()),
	}}, nil
}

// coldMilliseconds returns how long a runner stays cold, rounded up, so that one that is cold is not taken for a warm one.
func coldMilliseconds(d time.Duration) uint32 {
	ms := (max(0, d) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, math.MaxUint32))
}
